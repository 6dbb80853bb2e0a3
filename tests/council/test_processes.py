"""Planner processes with a council and faults between them; judged by rules and counts, never by times."""

from __future__ import annotations

import asyncio
import shutil
import signal
from collections.abc import Awaitable, Callable

import uvloop

from embersill.rig.billing import BillingBehaviour
from embersill.rig.deployment import Deployment, Shape
from embersill.rig.ownership import (
    judge_billing,
    owner_of,
    record_ownership,
    wait_exported,
    wait_owner,
    wait_writer,
)
from embersill.rig.relay import Direction, LinkFault, LinkFaultKind
from embersill.rig.scenario_run import COUNCIL_TABLES, RULES
from embersill.rig.standins import BackendBehaviour

RELAYED = ("@planner>@planner", "@planner>billing", "@forwarder>@planner")


def fleet(
    test: Callable[[Deployment], Awaitable[None]],
    planners: int = 3,
    rate: float = 50.0,
    lost_disks: bool = False,
) -> Deployment:
    """Runs a deployment under traffic while `test` runs, and checks all rules at the end."""

    async def run() -> Deployment:
        deployment = Deployment(
            Shape(
                fronts=2,
                planners=planners,
                backends=4,
                customers=12,
                rate=rate,
                status_every=0.05,
                behaviour=BackendBehaviour(0.01, 0.03),
                council_tables=COUNCIL_TABLES,
                relayed=RELAYED,
            )
        )
        try:
            async with asyncio.timeout(150.0):
                await deployment.start()
                traffic = asyncio.create_task(deployment.traffic.run(140.0))
                await wait_owner(deployment, "export")
                await test(deployment)
                traffic.cancel()
                await deployment.traffic.wait_answered(8.0)
                await wait_owner(deployment, "export")
                if not lost_disks:
                    await wait_exported(deployment)
                codes = await deployment.stop()
        finally:
            deployment.close()
        figures = deployment.audit.figures()
        assert not codes and not {rule: figures[rule] for rule in RULES if figures[rule]}, figures
        report = judge_billing(deployment.billing)
        assert report["owners_at_once_most"] == 1 and report["appends"] > 0, report
        assert not report["exported_twice"] and not report["late_effects_taken"], report
        assert not report["exported_out_of_order"], report
        return deployment

    return uvloop.run(run())


async def swallowed(deployment: Deployment, way: str, direction: Direction = Direction.BOTH) -> int:
    return await deployment.relays[way].add_fault(LinkFault(LinkFaultKind.SWALLOW, direction))


def others(deployment: Deployment, name: str) -> list[str]:
    return [member.name for member in deployment.planners() if member.name != name]


def test_an_owner_that_stalled_between_its_check_and_its_write_is_refused() -> None:
    async def test(deployment: Deployment) -> None:
        for _ in range(6):
            owner = await wait_writer(deployment)
            way = deployment.relays[f"{owner}>billing"]
            number = await swallowed(deployment, way.name, Direction.UP)
            await asyncio.sleep(0.5)  # its next append is sent, and does not arrive
            highest = deployment.billing.highest_number
            deployment.members[owner].suspend()
            while deployment.billing.highest_number == highest:  # until its successor has claimed
                await asyncio.sleep(0.02)
            await way.remove_fault(number)
            deployment.members[owner].resume()
            await asyncio.sleep(0.5)
            if deployment.billing.counts["late_refused"]:
                return

    deployment = fleet(test)
    assert deployment.billing.counts["late_refused"] > 0
    assert len(deployment.billing.owners) > 1


def test_late_verdicts_of_an_old_owner_are_refused_by_every_planner() -> None:
    async def test(deployment: Deployment) -> None:
        backend = deployment.backends[0]
        backend.close()  # listed but not listening: suspected and probed
        for connection in list(backend.connections):
            connection.close()
        async with asyncio.timeout(60.0):
            while not any(m.status.get("probes", {}).get("out") for m in deployment.planners()):
                await asyncio.sleep(0.05)
        for _ in range(12):
            owner = await wait_owner(deployment, "probes")
            ways = [deployment.relays[f"{owner}>{name}"] for name in others(deployment, owner)]
            faults = [
                (way, await way.add_fault(LinkFault(LinkFaultKind.DELAY, Direction.UP, 1.0))) for way in ways
            ]
            await asyncio.sleep(0.6)  # it has published at least once more, and its lease is over
            await wait_owner(deployment, "probes", other_than=owner)
            await asyncio.sleep(0.8)
            for way, number in faults:
                await way.remove_fault(number)
            refused = {m.name: m.status["refused_effects"] for m in deployment.planners()}
            if sum(count > 0 for count in refused.values()) >= 2:
                return
        raise AssertionError(f"no late verdict came: {refused}")

    fleet(test)


def test_an_owner_cut_off_from_the_council_and_one_cut_off_from_billing() -> None:
    async def test(deployment: Deployment) -> None:
        owner = await wait_owner(deployment, "export")
        ways = [f"{a}>{b}" for a in (owner,) for b in others(deployment, owner)]
        ways += [f"{b}>{owner}" for b in others(deployment, owner)]
        faults = [
            (name, await deployment.relays[name].add_fault(LinkFault(LinkFaultKind.CUT))) for name in ways
        ]
        second = await wait_owner(deployment, "export", other_than=owner)
        for name, number in faults:
            await deployment.relays[name].remove_fault(number)
        # the reverse: the owner holds the office and cannot reach billing
        number = await deployment.relays[f"{second}>billing"].add_fault(LinkFault(LinkFaultKind.CUT))
        third = await wait_owner(deployment, "export", other_than=second)
        booked = len(deployment.billing.appends)
        while len(deployment.billing.appends) <= booked:
            await asyncio.sleep(0.05)
        assert third != second
        await deployment.relays[f"{second}>billing"].remove_fault(number)
        # delays, with everything delivered in the end
        delayed = [deployment.relays[f"{third}>{name}"] for name in others(deployment, third)]
        late = [
            (way, await way.add_fault(LinkFault(LinkFaultKind.DELAY, Direction.BOTH, 0.3, 2.7)))
            for way in delayed
        ]
        await asyncio.sleep(3.0)
        for way, number in late:
            await way.remove_fault(number)

    deployment = fleet(test)
    assert len(deployment.billing.owners) >= 3


def test_a_cut_between_two_members_and_a_member_that_nobody_receives() -> None:
    taken: list[int] = []

    async def test(deployment: Deployment) -> None:
        claims = record_ownership(deployment)
        faults = [
            (name, await deployment.relays[name].add_fault(LinkFault(LinkFaultKind.CUT)))
            for name in ("p0>p2", "p2>p0")
        ]
        await asyncio.sleep(4.0)
        assert owner_of(deployment, "export")
        taken.append(claims.changes("export"))
        for name, number in faults:
            await deployment.relays[name].remove_fault(number)
        await asyncio.sleep(0.5)
        claims = record_ownership(deployment)
        silent = await wait_owner(deployment, "export")
        faults = [
            (f"{silent}>{b}", await swallowed(deployment, f"{silent}>{b}", Direction.UP))
            for b in others(deployment, silent)
        ]
        faults += [
            (f"{b}>{silent}", await swallowed(deployment, f"{b}>{silent}", Direction.DOWN))
            for b in others(deployment, silent)
        ]
        await wait_owner(deployment, "export", other_than=silent)
        await asyncio.sleep(3.0)
        assert owner_of(deployment, "export") not in ("", silent)
        taken.append(claims.changes("export"))
        for name, number in faults:
            await deployment.relays[name].remove_fault(number)

    fleet(test)
    assert taken[0] <= 2 and taken[1] <= 3, taken


def test_owners_are_killed_in_turn_restarted_and_cloned() -> None:
    async def test(deployment: Deployment) -> None:
        for attempt in range(5):
            owner = await wait_owner(deployment, "export")
            await deployment.members[owner].kill()
            await wait_owner(deployment, "export", other_than=owner)
            await deployment.members[owner].start()  # while its successor is active
            await asyncio.sleep(0.4 if attempt % 2 else 1.2)
        owner = await wait_owner(deployment, "export")
        clone = await deployment.clone(owner)  # a second process under that name, with a copy of its disk
        async with asyncio.timeout(60.0):
            while not clone.status.get("council", {}).get("votes"):
                await asyncio.sleep(0.05)
        assert "another process" in await reported_reason(deployment, owner)
        await clone.kill()
        await deployment.members[owner].kill()
        await deployment.members[owner].start()

    deployment = fleet(test)
    assert len(deployment.billing.owners) >= 4
    log = [line for line in deployment.logs() if "under this name" in line]
    assert len(log) == 1


async def reported_reason(deployment: Deployment, name: str) -> str:
    async with asyncio.timeout(60.0):
        while not (reason := deployment.members[name].status.get("council", {}).get("why")):
            await asyncio.sleep(0.05)
    return str(reason)


def test_all_members_are_killed_at_once_and_three_of_five_disks_are_changed() -> None:
    async def test(deployment: Deployment) -> None:
        old = deployment.state_dir("p1").with_name("yesterday")
        await deployment.copy_state("p1", old)
        await asyncio.sleep(1.5)
        number = max(deployment.billing.owners, default=0)
        await asyncio.gather(*(member.kill() for member in deployment.planners()))
        shutil.rmtree(deployment.state_dir("p1"))
        shutil.copytree(old, deployment.state_dir("p1"))  # an old copy
        shutil.rmtree(deployment.state_dir("p2"))  # no disk state
        with open(deployment.state_dir("p3") / "council", "r+b") as file:  # a torn last record
            file.seek(0, 2)
            file.write(b"\x93EJ1\0\0\0\x40torn")
        await asyncio.gather(*(member.start() for member in deployment.planners()))
        async with asyncio.timeout(60.0):
            while not all(m.status.get("council", {}).get("votes") for m in deployment.planners()):
                await asyncio.sleep(0.05)
        recoveries = {m.name: m.status["council"]["learned"] for m in deployment.planners()}
        assert recoveries == {"p0": 0, "p1": 1, "p2": 1, "p3": 0, "p4": 0}, recoveries
        await wait_owner(deployment, "export")
        await asyncio.sleep(1.0)
        assert max(deployment.billing.owners) > number  # the number grows whatever is lost

    fleet(test, planners=5, lost_disks=True)


def test_the_exporter_is_killed_at_any_moment_and_billing_answers_late_twice_or_never() -> None:
    async def test(deployment: Deployment) -> None:
        deployment.billing.behaviour = BillingBehaviour(
            unanswered_share=0.1, late_share=0.15, late_by_s=1.5, duplicate_share=0.2, busy_share=0.1
        )
        for attempt in range(14):
            owner = await wait_owner(deployment, "export")
            await asyncio.sleep(0.11 * (attempt % 5))
            await deployment.members[owner].kill()
            await deployment.members[owner].start()
        deployment.billing.behaviour = BillingBehaviour()

    deployment = fleet(test)
    assert len(deployment.billing.appends) > 5 and len(deployment.billing.owners) >= 8


def test_unauthenticated_connections_are_refused_and_harm_nothing() -> None:
    async def test(deployment: Deployment) -> None:
        before = owner_of(deployment, "export")
        for text in (b"GET / HTTP/1.1\r\n\r\n", b"\0\0\0\x10" + bytes(16), b"\xff" * 64):
            reader, writer = await asyncio.open_connection("127.0.0.1", deployment.council_ports["p0"])
            writer.write(text)
            async with asyncio.timeout(5.0):
                while await reader.read(4096):
                    pass
            writer.close()
        # a member with another secret
        stranger = deployment.members["p1"]
        await stranger.kill()
        secret = deployment.operator_file("p1").with_name("secret")
        kept = secret.read_text()
        secret.write_text("another secret, of sixteen bytes and more")
        await stranger.start()
        async with asyncio.timeout(60.0):
            while not any("wrong shared secret" in line for line in deployment.logs()):
                await asyncio.sleep(0.05)
        assert not stranger.status.get("council", {}).get("votes")
        secret.write_text(kept)
        stranger.send(signal.SIGKILL)
        await stranger.wait_exit()
        await stranger.start()
        assert before

    fleet(test)
