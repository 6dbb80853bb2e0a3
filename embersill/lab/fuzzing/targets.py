"""Everything in the product that reads bytes from outside, each with what must hold whatever comes.

A target takes bytes and returns; what it raises is a finding. Errors that the code promises for bad input
are caught in it, by name. Several feed the same bytes whole and cut up: who reads a stream may not care how
it came.
"""

from __future__ import annotations

import asyncio
import json
import math
import tempfile
from collections.abc import Callable
from dataclasses import replace
from functools import cache
from pathlib import Path
from typing import Any

import msgspec

from embersill.configuration.operator import read_operator
from embersill.configuration.platform import BadConfiguration, build_configuration
from embersill.interface import Backend, BackendList, ListKind, Outcome, Request, Send, Status
from embersill.lab.counting_harness import Harness
from embersill.net.attempt import Answer, Attempt
from embersill.net.backends import BackendConnection
from embersill.net.counter import CounterCall, CounterConnection
from embersill.net.discovery import BadList, DiscoveryConnection, read_listing
from embersill.rig.settings import lab_settings, settings_object
from embersill.tiers.forwarder import Forwarder
from embersill.tiers.messages import BadFrame
from embersill.tiers.planner import Planner
from embersill.tiers.terms import Terms
from embersill.tiers.wire import (
    BatchSequence,
    ForwarderSide,
    FrameReader,
    HandshakeError,
    PlannerSide,
    Secret,
)
from embersill.world.schedules import decode_saved

MOST_FRAME = 1 << 16  # bytes
Target = Callable[[bytes], None]


class Finding(Exception):
    """Something that must hold does not."""


def expect(holds: bool, what: str) -> None:
    if not holds:
        raise Finding(what)


# clients


def heads(data: bytes) -> None:
    """A client's bytes: every request that goes on has an id of its own and one length; all ends in time."""

    async def run() -> None:
        harness = Harness(1)
        try:
            for start in range(0, len(data), 4096):
                harness.client.data_received(data[start : start + 4096])
            for _ in range(8):  # pauses after errors
                harness.loop.advance(0.2)
            out = [text for _, transport in harness.backends for text in transport.written]
            ids = [
                line for text in out for line in text.split(b"\r\n") if line.lower().startswith(b"x-call-id:")
            ]
            expect(len(ids) == len(set(ids)) == len(out), "requests that went on have not one id each")
            for text in out:
                head = text.partition(b"\r\n\r\n")[0].lower()
                names = [line.partition(b":")[0] for line in head.split(b"\r\n")[1:]]
                expect(b"transfer-encoding" not in names, "a request went on with a transfer encoding")
                expect(names.count(b"content-length") <= 1, "a request went on with two lengths")
            answers = b"".join(harness.client_transport.written)
            expect(answers == b"" or answers.startswith(b"HTTP/1.1 "), "an answer begins oddly")
            client = harness.client
            expect(len(client.exchanges) <= 17, "more requests under way than the bound")
            expect(len(client.unread) <= len(data), "more is kept than came")
        finally:
            harness.close()

    asyncio.run(run())


class Owned:
    """The owner of an attempt: hears of its end, once."""

    def __init__(self) -> None:
        self.answers: list[Answer] = []

    def stream_began(
        self, attempt: Attempt, headers: bytes, length: int | None, source: BackendConnection
    ) -> None:
        """Long answers are not passed on here: none is wanted."""

    def attempt_ended(self, attempt: Attempt, answer: Answer) -> None:
        self.answers.append(answer)


def answers(data: bytes) -> None:
    """A backend's bytes, whole and one by one: one outcome at most, and a body that it sent."""

    async def run() -> None:
        for step in (len(data) or 1, 1):
            if step == 1 and len(data) > 512:
                continue
            harness = Harness(1)
            try:
                connection, _ = harness.backends[0]
                owner = Owned()
                now = harness.loop.time()
                attempt = Attempt(
                    connection.endpoint.backend, b"GET / HTTP/1.1\r\n", b"", now, now + 5.0, 0, owner
                )
                connection.endpoint.idle.remove(connection)
                connection.send(attempt, 1.0)
                for start in range(0, len(data), step):
                    connection.data_received(data[start : start + step])
                    expect(len(owner.answers) <= 1, "an attempt ended twice")
                for answer in owner.answers:
                    check_answer(connection, answer, data)
            finally:
                harness.close()

    asyncio.run(run())


def check_answer(connection: BackendConnection, answer: Answer, data: bytes) -> None:
    if answer.outcome is Outcome.SERVED:
        expect(len(answer.body) <= 64 * 1024, "a body over the bound was served")
        expect(len(answer.body) <= len(data), "a body was served that did not come")
        expect(math.isfinite(answer.units) and answer.units >= 0, "units that are none")
    else:
        expect(answer.outcome in (Outcome.BROKEN, Outcome.ERROR, Outcome.TURNED_AWAY), "an odd outcome")


class Told:
    """The counter's place: hears of each call once."""

    def __init__(self) -> None:
        self.unpipelined = False
        self.call_timeout, self.leaving = 0.03, set[CounterConnection]()
        self.ends: list[tuple[CounterCall, Outcome, float]] = []

    def clock(self) -> float:
        return 1.0

    def finish_call(self, call: CounterCall, outcome: Outcome, total: float) -> None:
        self.ends.append((call, outcome, total))


class Sink:
    """A transport that takes all."""

    def __init__(self) -> None:
        self.closed = False

    def write(self, data: bytes) -> None: ...

    def set_write_buffer_limits(self, high: int) -> None: ...

    def is_closing(self) -> bool:
        return self.closed

    def abort(self) -> None:
        self.closed = True


def counter(data: bytes) -> None:
    """A counter's bytes, whole and one by one: the same outcomes, each call told once, totals are numbers."""
    outcomes = []
    for step in (len(data) or 1, 1):
        told = Told()
        line = CounterConnection(told)  # type: ignore[arg-type]
        sink = Sink()
        line.connection_made(sink)  # type: ignore[arg-type]
        for number in range(4):
            line.call(CounterCall(f"c.{number}", 1.0), b"x")
        for start in range(0, len(data), step):
            if not sink.closed:
                line.data_received(data[start : start + step])
        line.connection_lost(None)
        expect(len(told.ends) == 4, f"{len(told.ends)} of 4 calls were told")
        expect(len({id(call) for call, _, _ in told.ends}) == 4, "a call was told twice")
        expect(all(math.isfinite(total) for _, _, total in told.ends), "a total that is no number")
        outcomes.append([(call.name, outcome, total) for call, outcome, total in told.ends])
    expect(outcomes[0] == outcomes[1], "how the bytes came made a difference")


# discovery


def listing(data: bytes) -> None:
    """A list as JSON: BadList, or entries that can be used."""
    try:
        told = read_listing(json.loads(data))
    except (BadList, ValueError, RecursionError):
        return
    for entry in told.entries:
        expect(0 <= entry.address[1] < 65536, "a port that is none")
        expect(math.isfinite(entry.backend.rating) and entry.backend.rating >= 0, "a weight that is none")
        expect(entry.backend.started is None or math.isfinite(entry.backend.started), "a start that is none")


def discovery(data: bytes) -> None:
    """An agent's bytes: a body, or a failure that names itself."""

    async def run() -> None:
        connection = DiscoveryConnection()
        connection.connection_made(Sink())  # type: ignore[arg-type]
        answer = connection.ask("/v1/endpoints", "h")
        for start in range(0, len(data), 1024):
            connection.data_received(data[start : start + 1024])
        connection.connection_lost(None)
        expect(answer.done(), "a call without an end")
        try:
            listing(answer.result())
        except BadList:
            return

    asyncio.run(run())


# the two levels


@cache
def tier_settings() -> Any:
    return replace(lab_settings(2), counter=False)


def backends() -> BackendList:
    listed = (Backend(f"b{n}", "z", "k", n, Status.SERVING, 1.0, None) for n in range(2))
    return BackendList(ListKind.WHOLE, tuple(listed))


def frames_to_planner(data: bytes) -> None:
    """A forwarder's frames: BadFrame, or a planner that goes on, whose ceilings are numbers."""
    core = Planner(
        tier_settings(), 1, 100.0, forwarders=["f0", "f1"], planners=1, parts=1, terms=Terms(), most_open=64
    )
    core.list_told(backends(), 100.0)
    session = core.link_up("f0", 100.0)
    reader, numbers = FrameReader(MOST_FRAME), BatchSequence()
    try:
        for number, frame in enumerate(reader.feed(data)):
            core.received(session, numbers.read(frame), 100.0 + 0.01 * number)
    except BadFrame:
        core.link_down(session, 101.0)
    for at in (101.0, 102.0, 110.0):
        core.tick(at)
        timers, core.timers = core.timers, []
        for _, key in timers:
            core.timer_due(key, at, at)
        if "f0" in core.sessions:
            core.take_outbox(session)
    for throttle in core.gateway.throttles.values():
        expect(math.isfinite(throttle.cap) and math.isfinite(throttle.level), "a level that is no number")
        plan = throttle.plan
        expect(throttle.level <= plan.burst + 1e-6, "more than a burst")
        expect(plan.ceiling_rate <= 0 or throttle.cap <= plan.ceiling_depth + 1e-6, "more than a ceiling")
    for part in core.parts:
        expect(0.0 <= part.ceiling <= 1.0, "more of a ceiling than there is")


def frames_to_forwarder(data: bytes) -> None:
    """A planner's frames: BadFrame, or a forwarder that goes on and sends nothing twice."""
    core = Forwarder(tier_settings(), 1, 100.0, forwarders=2, planners=["p0"], parts=1, terms=Terms())
    core.handle(backends(), 100.0)
    core.link_up("p0", "p0.1", 100.0)
    for number in (1, 2):
        core.handle(Request(number, "extract", "pro", "c", 104.0, 2.0, 2, 0, False), 100.0)
    sends: list[tuple[int, str]] = []
    reader, numbers = FrameReader(MOST_FRAME), BatchSequence()
    try:
        for number, frame in enumerate(reader.feed(data)):
            actions = core.received("p0", numbers.read(frame), 100.0 + 0.01 * number)
            sends += [(action.request, action.backend) for action in actions if isinstance(action, Send)]
    except BadFrame:
        core.link_down("p0", 101.0)
    core.tick(101.0)
    expect(len(core.outbox["p0"]) < 10_000, "an outbox without bound")
    expect(all(number in (1, 2) for number, _ in sends), "a request was sent that nobody asked for")


def handshake(data: bytes) -> None:
    """Frames ahead of any proof: HandshakeError, whichever end reads them."""
    secret = Secret(b"0123456789abcdef", "d")
    planner = PlannerSide(secret, "p0", "1", b"n" * 32)
    forwarder = ForwarderSide(secret, "f0", "p0", b"m" * 32)
    try:
        for frame in FrameReader(1024).feed(data):
            try:
                planner.check(frame, frozenset({"f0"}))
            except HandshakeError:
                pass
            else:
                raise Finding("a proof was taken that nobody made")
            forwarder.read(frame)
    except (BadFrame, HandshakeError):
        return


# files


@cache
def folder() -> Path:
    path = Path(tempfile.mkdtemp(prefix="embersill-fuzz-"))
    (path / "s").write_bytes(b"0123456789abcdef")
    return path


def operator_file(data: bytes) -> None:
    """An operator's file: BadConfiguration in one line, or a configuration."""
    path = folder() / "operator.toml"
    path.write_bytes(data)
    try:
        read_operator(str(path))
    except BadConfiguration as error:
        expect("\n" not in str(error), "an error of several lines")


def platform_file(data: bytes) -> None:
    """The platform's configuration: one of the errors that the reader words, or a configuration."""
    try:
        told = json.loads(data)
    except (ValueError, RecursionError):
        return
    if isinstance(told, dict) and "settings" not in told:
        told["settings"] = settings_object(2)
    try:
        build_configuration(told, {})
    except (KeyError, ValueError, TypeError, AttributeError, BadList, BadConfiguration, OverflowError):
        return


def kept_schedule(data: bytes) -> None:
    """A kept schedule: msgspec's word on it, or a schedule."""
    try:
        decode_saved(data)
    except msgspec.DecodeError:
        return


# gRPC


def question(data: bytes) -> None:
    """A question of the rate limit service: BadQuestion, or an answer with a status for each descriptor."""
    from envoy.service.ratelimit.v3 import rls_pb2
    from google.protobuf.message import DecodeError

    from embersill.ratelimit.answering import Answering, BadQuestion
    from embersill.ratelimit.server import read_descriptor, write_answer

    try:
        asked = rls_pb2.RateLimitRequest.FromString(data)
    except DecodeError:
        return
    gateway, table = question_parts()
    answering = Answering(table, gateway.settings, lambda q: gateway.handle(q, 100.0)[-1])
    try:
        answer = answering.answer(
            asked.domain, [read_descriptor(d) for d in asked.descriptors], asked.hits_addend
        )
    except BadQuestion:
        return
    told = write_answer(answer)
    expect(len(told.statuses) == len(asked.descriptors), "not one status for each descriptor")
    expect(all(math.isfinite(throttle.cap) for throttle in gateway.throttles.values()), "a cap that is none")


def question_parts() -> tuple[Any, Any]:
    from embersill.control import Gateway
    from embersill.ratelimit.settings import AnswerTable

    rules = [
        {"domain": "lookup", "match": {"api": "report"}, "customer": "account", "plan": "pro"},
        {"domain": "lookup", "match": {}, "customer": "account", "plan": "basis", "override": "apply"},
    ]
    table = msgspec.convert({"listen": "127.0.0.1:1", "rules": rules}, AnswerTable)
    return Gateway(tier_settings(), 1, 100.0), table


TARGETS: dict[str, Target] = {
    "heads": heads,
    "answers": answers,
    "counter": counter,
    "listing": listing,
    "discovery": discovery,
    "frames-to-planner": frames_to_planner,
    "frames-to-forwarder": frames_to_forwarder,
    "handshake": handshake,
    "operator-file": operator_file,
    "platform-file": platform_file,
    "kept-schedule": kept_schedule,
    "question": question,
}
