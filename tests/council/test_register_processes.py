"""The register as processes: what they read and wrote together is linearizable, in trouble too."""

from __future__ import annotations

import asyncio
import random

import uvloop

from embersill.rig.clerks import Clerks
from embersill.rig.relay import Direction, LinkFault, LinkFaultKind
from embersill.world.histories import is_linearizable


def played(seconds: float, stale: str = "", troubled: bool = True, count: int = 3) -> Clerks:
    async def run() -> Clerks:
        clerks, chance = Clerks(count, 1, stale), random.Random(5)
        try:
            async with asyncio.timeout(60.0):
                await clerks.start()
                while not clerks.lines:
                    await asyncio.sleep(0.02)
                end = asyncio.get_running_loop().time() + seconds
                while asyncio.get_running_loop().time() < end:
                    await asyncio.sleep(0.15)
                    if troubled:
                        await trouble(clerks, chance)
        finally:
            clerks.close()
        return clerks

    return uvloop.run(run())


async def trouble(clerks: Clerks, chance: random.Random) -> None:
    """One fault: a few ways, or a process, for a short while."""
    if chance.random() < 0.3:
        member = clerks.members[chance.choice(clerks.names)]
        if chance.random() < 0.5:
            return await member.pause(0.3)
        await member.kill()
        return await member.start()
    kind = chance.choice((LinkFaultKind.CUT, LinkFaultKind.SWALLOW, LinkFaultKind.DELAY, LinkFaultKind.HALF))
    relays = chance.sample(list(clerks.relays.values()), 2)
    direction = chance.choice(list(Direction))
    faults = [(relay, await relay.add_fault(LinkFault(kind, direction, 0.1, 0.2))) for relay in relays]
    await asyncio.sleep(chance.uniform(0.1, 0.5))
    for relay, fault_id in faults:
        await relay.remove_fault(fault_id)


def test_what_processes_read_and_write_in_trouble_is_linearizable() -> None:
    clerks = played(9.0)
    histories = clerks.histories()
    sure = sum(op.sure for ops in histories.values() for op in ops)
    assert len(histories) == 3 and sure > 150, sure
    assert sum(member.start_count for member in clerks.members.values()) > 4
    for key, ops in histories.items():
        assert is_linearizable(ops), key


def test_one_that_answers_reads_from_memory_is_caught() -> None:
    histories = played(3.0, stale="m1", troubled=False).histories()
    assert not all(is_linearizable(ops) for ops in histories.values())
