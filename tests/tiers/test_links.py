"""Links over real sockets, and whole deployments of processes under faults."""

from __future__ import annotations

import asyncio
import signal

import pytest

from embersill.rig.deployment import Deployment, Shape, run_with_faults
from embersill.rig.processes import free_ports
from embersill.rig.scenario_run import RULES
from embersill.rig.settings import lab_settings
from embersill.rig.standins import HOST, BackendBehaviour
from embersill.tiers.forwarder import Forwarder
from embersill.tiers.frames import HANDSHAKE_TIMEOUT_S
from embersill.tiers.links import ForwarderLinks, PlannerServer
from embersill.tiers.messages import Ask, Batch, Lend
from embersill.tiers.planner import Planner
from embersill.tiers.terms import Terms
from embersill.tiers.wire import ForwarderSide, FrameReader, Secret, length_prefixed, pack
from embersill.world.oracles import Rules, first_violation
from embersill.world.records import Written
from tests.bed import run
from tests.peers import SOON

KEY = b"k" * 32


async def planner() -> PlannerServer:
    loop = asyncio.get_running_loop()
    core = Planner(lab_settings(1), 1, loop.time(), forwarders=["f0"], planners=1, parts=4, terms=Terms())
    server = PlannerServer(core, loop.time, Secret(KEY), "p0", most_frame=1 << 18, most_unsent=1 << 20)
    await server.start((HOST, 0))
    return server


class Linked:
    """A forwarder's end of a link, driven by the test."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer, self.frames = reader, writer, FrameReader(1 << 20)

    async def frame(self) -> bytes:
        async with asyncio.timeout(SOON):
            size = int.from_bytes(await self.reader.readexactly(4), "big")
            return await self.reader.readexactly(size)

    async def closed(self) -> bool:
        async with asyncio.timeout(SOON):
            try:
                while await self.reader.read(1 << 16):
                    pass
            except ConnectionError:
                pass
            return True


async def linked(
    server: PlannerServer, key: bytes = KEY, name: str = "f0", session: int = 1, via: str = ""
) -> Linked:
    link = Linked(*await asyncio.open_connection(HOST, server.port))
    side = ForwarderSide(Secret(key), name, "p0", b"n" * 32, session=session, via=via)
    proof = side.read(await link.frame())
    assert proof is not None
    link.writer.write(proof)
    side.read(await link.frame())
    return link


@pytest.mark.parametrize(("key", "name"), [(b"x" * 32, "f0"), (KEY, "f7")])
def test_strangers_are_told_and_closed(key: bytes, name: str) -> None:
    async def test() -> None:
        server = await planner()
        with pytest.raises(Exception, match="rejected by the other end"):
            await linked(server, key, name)
        assert not server.endpoints and not server.core.sessions
        server.close()

    run(test)


@pytest.mark.parametrize(
    "text",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        (1 << 20).to_bytes(4, "big"),
        length_prefixed(b"\xc1" * 10),
    ],
)
def test_what_is_no_handshake_is_closed_at_once(text: bytes) -> None:
    async def test() -> None:
        server = await planner()
        link = Linked(*await asyncio.open_connection(HOST, server.port))
        await link.frame()
        began = asyncio.get_running_loop().time()
        link.writer.write(text)
        assert await link.closed()
        assert asyncio.get_running_loop().time() - began < HANDSHAKE_TIMEOUT_S / 2
        server.close()

    run(test)


def test_one_that_proves_nothing_is_closed_in_time_and_many_are_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("embersill.tiers.frames.HANDSHAKE_TIMEOUT_S", 0.2)
    monkeypatch.setattr("embersill.tiers.frames.MAX_UNAUTHENTICATED", 8)

    async def test() -> None:
        server = await planner()
        links = [Linked(*await asyncio.open_connection(HOST, server.port)) for _ in range(20)]
        assert len(server.unauthenticated) <= 8
        assert all([await link.closed() for link in links])
        assert not server.unauthenticated
        (await linked(server)).writer.close()
        server.close()

    run(test)


@pytest.mark.parametrize(
    "text",
    [
        (1 << 19).to_bytes(4, "big"),
        length_prefixed(b"\x00"),
        pack(Batch(9999, 0, 0, [])),  # too far ahead of the sequence
        pack(Batch(1, 0, 0, [], 99)),  # acknowledges batches that were never sent
        pack(Batch(0, 0, 0, [Lend([1], 0.0, 0.0)])),  # not allowed outside the sequence
        pack(Batch(1, 0, 0, [Lend([99], 0.0, 0.0)])),
        pack(Batch(1, 0, 0, [Ask(1, "lookup", "free", "c", 1.0, 1.0, False)])),  # for a part that is not lent
    ],
)
def test_a_member_that_breaks_the_form_loses_its_link_and_no_more(text: bytes) -> None:
    async def test() -> None:
        server = await planner()
        link = await linked(server)
        link.writer.write(text)
        assert await link.closed()
        async with asyncio.timeout(SOON):
            while server.endpoints or server.core.sessions:
                await asyncio.sleep(0.01)
        again = await linked(server)
        again.writer.close()
        server.close()

    run(test)


def test_a_new_link_takes_the_place_of_an_old_one() -> None:
    async def test() -> None:
        server = await planner()
        first, second = await linked(server), await linked(server, session=2)
        assert await first.closed()
        assert list(server.core.sessions) == ["f0"]
        second.writer.close()
        server.close()

    run(test)


class NoDriver:
    """Stands in for a forwarder's driver."""

    def perform(self, actions: object) -> None: ...


def test_the_last_words_of_a_forwarder_that_stops_arrive() -> None:
    async def test() -> None:
        server, loop = await planner(), asyncio.get_running_loop()
        core = Forwarder(
            lab_settings(1), 1, loop.time(), forwarders=1, planners=["p0"], parts=4, terms=Terms()
        )
        links = ForwarderLinks(
            core,
            loop.time,
            Secret(KEY),
            "f0",
            {"p0": (HOST, server.port)},
            most_frame=1 << 18,
            most_unsent=1 << 20,
        )
        links.start(NoDriver())  # type: ignore[arg-type]
        async with asyncio.timeout(SOON):
            while not all(part.whole for part in server.core.parts):
                await asyncio.sleep(0.005)
            links.close()
            await asyncio.sleep(0)
            while server.endpoints:
                await asyncio.sleep(0.005)
        lenders = [part.lenders["f0"] for part in server.core.parts]
        assert all(lender.bequest_until > loop.time() + 3.0 for lender in lenders)
        server.close()

    run(test)


def shape(**changes: object) -> Shape:
    made = Shape(
        fronts=3,
        planners=2,
        backends=4,
        customers=24,
        rate=120.0,
        behaviour=BackendBehaviour(0.01, 0.05, error_share=0.01, reset_share=0.01, reject_share=0.02),
    )
    for name, value in changes.items():
        setattr(made, name, value)
    return made


def broken(told: dict[str, object]) -> dict[str, object]:
    return {rule: told[rule] for rule in RULES if told[rule]}


async def played(deployment: Deployment, seconds: float, **trouble: float) -> dict[str, object]:
    async with asyncio.timeout(seconds + 4 * SOON):
        return await run_with_faults(deployment, seconds, **trouble)


def runs(test: object) -> None:
    import uvloop

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(test)  # type: ignore[arg-type]


def test_planners_that_are_killed_and_paused_break_no_rule() -> None:
    async def test() -> None:
        deployment = Deployment(shape())
        told = await played(deployment, 7.0, planner_fault_every=1.2, drain_every=0.7)
        assert not broken(told) and not told["bad_ends"], told
        assert deployment.audit.counts["planner_kills"] and deployment.audit.counts["planner_pauses"]
        # and by the simulation's checkers, on what clients and backends saw
        audit = deployment.audit
        rules = Rules(audit.rule_terms(), lambda customer: customer)
        assert first_violation(sorted(audit.records, key=lambda record: record[0]), rules) is None
        assert rules.ceilings.lowest < 48.0 and len(audit.records) > 1000
        runs = [record for record in audit.records if isinstance(record, Written)]
        again = runs[-1]._replace(attempt=99, at=runs[-1].at + 9.0)
        assert first_violation([*audit.records, again, again], Rules(audit.rule_terms())) is not None
        assert told["served"] > 0.8 * told["tries"]  # type: ignore[operator]
        assert not list(deployment.logs())

    runs(test())


def test_forwarders_serve_with_all_planners_gone_and_come_back() -> None:
    async def test() -> None:
        deployment = Deployment(shape(rate=60.0))
        await deployment.start()
        try:
            traffic = asyncio.create_task(deployment.traffic.run(5.0))
            await asyncio.sleep(1.0)
            await asyncio.gather(*(member.kill() for member in deployment.planners()))
            served = deployment.audit.counts["served"]
            await asyncio.sleep(2.0)
            assert deployment.audit.counts["served"] > served + 40
            await asyncio.gather(*(member.start() for member in deployment.planners()))
            await traffic
            await deployment.traffic.wait_answered(SOON)
            codes = await deployment.stop()
        finally:
            deployment.close()
        told = deployment.audit.figures()
        assert not broken({**told}) and not codes, told

    runs(test())


def test_a_planner_that_stops_in_order_hands_over() -> None:
    async def test() -> None:
        deployment = Deployment(shape())
        await deployment.start()
        try:
            traffic = asyncio.create_task(deployment.traffic.run(3.0))
            await asyncio.sleep(1.0)
            member = deployment.members["p0"]
            member.send(signal.SIGTERM)
            assert await member.wait_exit() == 0
            await traffic
            await deployment.traffic.wait_answered(SOON)
            codes = await deployment.stop()
        finally:
            deployment.close()
        told = deployment.audit.figures()
        assert not broken({**told}) and not codes, told
        assert told["failed"] <= 0.05 * told["tries"]

    runs(test())


def test_a_killed_forwarder_loses_only_what_it_held() -> None:
    async def test() -> None:
        told = await played(Deployment(shape()), 5.0, restart_front_every=1.5)
        assert not broken(told) and told["front_kills"], told

    runs(test())


def test_free_ports_are_different() -> None:
    assert len(set(free_ports(20))) == 20


def test_a_second_connection_is_one_path_more_and_an_older_session_is_turned_away() -> None:
    async def test() -> None:
        server = await planner()
        direct, carried = await linked(server), await linked(server, via="p1")
        endpoint = server.endpoints["f0"]
        assert set(endpoint.links) == {"", "p1"}
        direct.writer.close()
        await asyncio.sleep(0.05)
        assert server.endpoints["f0"] is endpoint and set(endpoint.links) == {"p1"}
        newer = await linked(server, session=2)
        assert await carried.closed()
        with pytest.raises(Exception, match="an older session"):
            await linked(server)
        newer.writer.close()
        server.close()

    run(test)


def test_a_planner_carries_only_to_planners_that_it_knows() -> None:
    async def test() -> None:
        server = await planner()
        link = Linked(*await asyncio.open_connection(HOST, server.port))
        side = ForwarderSide(Secret(KEY), "f0", "p0", b"n" * 32, to="p9")
        proof = side.read(await link.frame())
        assert proof is not None
        link.writer.write(proof)
        with pytest.raises(Exception, match="no planner 'p9' to relay to"):
            side.read(await link.frame())
        assert await link.closed()
        server.close()

    run(test)


def test_what_is_carried_is_bounded_and_a_dead_end_ends_it() -> None:
    async def test() -> None:
        loop = asyncio.get_running_loop()
        end = await planner()
        core = Planner(lab_settings(1), 1, loop.time(), forwarders=["f0"], planners=2, parts=4, terms=Terms())
        helper = PlannerServer(
            core,
            loop.time,
            Secret(KEY),
            "p1",
            most_frame=1 << 18,
            most_unsent=1 << 20,
            others={"p0": (HOST, end.port), "p1": (HOST, 1), "p2": (HOST, 1)},
        )
        await helper.start((HOST, 0))

        async def carried(to: str) -> Linked:
            link = Linked(*await asyncio.open_connection(HOST, helper.port))
            first = ForwarderSide(Secret(KEY), "f0", "p1", b"n" * 32, to=to)
            proof = first.read(await link.frame())
            assert proof is not None
            link.writer.write(proof)
            first.read(await link.frame())
            second = ForwarderSide(Secret(KEY), "f0", to, b"m" * 32, session=1, via="p1")
            proof = second.read(await link.frame())
            assert proof is not None
            link.writer.write(proof)
            second.read(await link.frame())
            return link

        first = await carried("p0")
        assert set(end.endpoints["f0"].links) == {"p1"}
        again = await carried("p0")  # only one per forwarder and planner
        assert await first.closed() and len(helper.relay.carried) == 1
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await carried("p2")  # no planner listens there
        assert len(helper.relay.carried) == 1
        end.close()
        assert await again.closed() and not helper.relay.carried
        helper.close()

    run(test)
