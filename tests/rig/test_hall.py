"""A hall of gateways as processes: configured, asked at each, one lost and back, a tenant slowed in all."""

from __future__ import annotations

import asyncio
from pathlib import Path

from embersill.rig.hall import Hall


async def played(folder: Path) -> None:
    hall = Hall(folder, 4, backends=3, tenants={"t": (50.0, 50.0), "u": (50.0, 50.0)})
    async with hall:
        asked = [
            await hall.ask(name, gateway, route, fresh=gateway % 2 == 0)
            for gateway in range(4)
            for name, route in (("t", "ask"), ("u", "order"))
        ]
        assert [one.status for one in asked] == [200] * 8
        assert (await hall.ask("nobody", 0)).status == 401
        status, told = await hall.control(3, "GET", "/api/status")
        assert status == 200 and told["gateways"] == 4 and told["backends"] == {"s": {"ready": 3}}
        wish = {"action": "start", "by": "me", "ladder": [{"share": 0.0}]}
        assert (await hall.control(3, "PUT", "/api/lapses/t", wish))[0] == 200
        async with asyncio.timeout(10.0):
            while {(await hall.ask("t", gateway)).status for gateway in range(4)} != {429}:
                pass
        await hall.gateways[1].kill()  # one of the core: the others go on
        assert (await hall.ask("u", 1)).status == 0
        restored = (0, None)
        async with asyncio.timeout(10.0):
            while restored[0] != 200:
                restored = await hall.control(3, "PUT", "/api/lapses/t", {"action": "restore", "by": "me"})
            while (await hall.ask("t", 3, "order")).status != 200:
                pass
        assert (await hall.ask("u", 2, "order")).status == 200
        await hall.gateways[1].start()
        async with asyncio.timeout(10.0):
            while not await hall.is_ready(1):
                pass
        assert (await hall.ask("u", 1)).status == 200
        assert max(hall.ran().values()) == 1
    assert not any(gateway.running for gateway in hall.gateways)


def test_gateways_as_processes_serve_slow_a_tenant_down_and_lose_one(tmp_path: Path) -> None:
    asyncio.run(played(tmp_path))
