"""A cluster of gateway processes: every gateway serves, one is killed and restarted, a tenant is slowed."""

from __future__ import annotations

import asyncio
from pathlib import Path

from embersill.rig.gateway_cluster import GatewayCluster


async def run_cluster(folder: Path) -> None:
    cluster = GatewayCluster(folder, 4, backends=3, tenants={"t": (50.0, 50.0), "u": (50.0, 50.0)})
    async with cluster:
        results = [
            await cluster.send_request(name, gateway, route, fresh=gateway % 2 == 0)
            for gateway in range(4)
            for name, route in (("t", "ask"), ("u", "order"))
        ]
        assert [result.status for result in results] == [200] * 8
        assert (await cluster.send_request("nobody", 0)).status == 401
        status, answer = await cluster.control(3, "GET", "/api/status")
        assert status == 200 and answer["gateways"] == 4 and answer["backends"] == {"s": {"ready": 3}}
        slowdown = {"action": "start", "by": "me", "ladder": [{"share": 0.0}]}
        assert (await cluster.control(3, "PUT", "/api/lapses/t", slowdown))[0] == 200
        async with asyncio.timeout(10.0):
            while {(await cluster.send_request("t", gateway)).status for gateway in range(4)} != {429}:
                pass
        await cluster.gateways[1].kill()  # one of the core: the others go on
        assert (await cluster.send_request("u", 1)).status == 0
        restored = (0, None)
        async with asyncio.timeout(10.0):
            while restored[0] != 200:
                restored = await cluster.control(3, "PUT", "/api/lapses/t", {"action": "restore", "by": "me"})
            while (await cluster.send_request("t", 3, "order")).status != 200:
                pass
        assert (await cluster.send_request("u", 2, "order")).status == 200
        await cluster.gateways[1].start()
        async with asyncio.timeout(10.0):
            while not await cluster.is_ready(1):
                pass
        assert (await cluster.send_request("u", 1)).status == 200
        assert max(cluster.run_counts().values()) == 1
    assert not any(gateway.running for gateway in cluster.gateways)


def test_gateway_processes_serve_slow_down_a_tenant_and_survive_the_loss_of_one(tmp_path: Path) -> None:
    asyncio.run(run_cluster(tmp_path))
