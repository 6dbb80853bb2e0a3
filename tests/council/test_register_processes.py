"""The replicated register as processes: reads and writes are linearizable, with faults too."""

from __future__ import annotations

import asyncio
import random

import uvloop

from embersill.rig.register_workers import RegisterCluster
from embersill.rig.relay import Direction, LinkFault, LinkFaultKind
from embersill.world.histories import is_linearizable


def run_cluster(seconds: float, stale: str = "", with_faults: bool = True, count: int = 3) -> RegisterCluster:
    async def run() -> RegisterCluster:
        cluster, rng = RegisterCluster(count, 1, stale), random.Random(5)
        try:
            async with asyncio.timeout(60.0):
                await cluster.start()
                while not cluster.lines:
                    await asyncio.sleep(0.02)
                end = asyncio.get_running_loop().time() + seconds
                while asyncio.get_running_loop().time() < end:
                    await asyncio.sleep(0.15)
                    if with_faults:
                        await inject_fault(cluster, rng)
        finally:
            cluster.close()
        return cluster

    return uvloop.run(run())


async def inject_fault(cluster: RegisterCluster, rng: random.Random) -> None:
    """Injects one short fault: on two links, or to a process."""
    if rng.random() < 0.3:
        member = cluster.members[rng.choice(cluster.names)]
        if rng.random() < 0.5:
            return await member.pause(0.3)
        await member.kill()
        return await member.start()
    kind = rng.choice((LinkFaultKind.CUT, LinkFaultKind.SWALLOW, LinkFaultKind.DELAY, LinkFaultKind.HALF))
    relays = rng.sample(list(cluster.relays.values()), 2)
    direction = rng.choice(list(Direction))
    faults = [(relay, await relay.add_fault(LinkFault(kind, direction, 0.1, 0.2))) for relay in relays]
    await asyncio.sleep(rng.uniform(0.1, 0.5))
    for relay, fault_id in faults:
        await relay.remove_fault(fault_id)


def test_reads_and_writes_under_faults_are_linearizable() -> None:
    cluster = run_cluster(9.0)
    histories = cluster.histories()
    sure = sum(op.sure for ops in histories.values() for op in ops)
    assert len(histories) == 3 and sure > 150, sure
    assert sum(member.start_count for member in cluster.members.values()) > 4
    for key, ops in histories.items():
        assert is_linearizable(ops), key


def test_checker_finds_a_member_that_reads_from_its_cache() -> None:
    histories = run_cluster(3.0, stale="m1", with_faults=False).histories()
    assert not all(is_linearizable(ops) for ops in histories.values())
