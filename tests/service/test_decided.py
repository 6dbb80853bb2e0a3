"""Decisions on operator calls and on successor processes, without sockets."""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace

import pytest

from embersill.interface import BackendHold, Send, Shared, Status
from embersill.service.calls import route
from embersill.service.figures import Figures
from embersill.service.succession import Mark, Stage, encode_record, held_text, read_held, stage_of
from tests.helpers import CAPPED, Watch, backend, backends, gateway, request


@dataclass
class FakeService:
    """A gateway with backends `a` and `b/c` that records the calls to it."""

    calls: list[object] = field(default_factory=list)

    def can_serve(self) -> bool:
        return True

    def stats(self) -> str:
        return "figures"

    def hold(self, backend: str, out: bool) -> bool:
        if backend not in ("a", "b/c"):
            return False
        self.calls.append((backend, out))
        return True

    def set_draining(self, on: bool) -> None:
        self.calls.append(on)


@pytest.mark.parametrize(
    ("method", "path", "status", "calls"),
    [
        ("GET", "/healthcheck", 200, []),
        ("GET", "/stats", 200, []),
        ("GET", "/stats?x=1", 200, []),
        ("POST", "/backends/a/maint", 200, [("a", True)]),
        ("POST", "/backends/a/ready", 200, [("a", False)]),
        ("POST", "/backends/b%2Fc/maint", 200, [("b/c", True)]),
        ("POST", "/backends/x/maint", 404, []),
        ("POST", "/backends//maint", 404, []),
        ("GET", "/backends/a/maint", 405, []),
        ("POST", "/healthcheck/fail", 200, [True]),
        ("POST", "/healthcheck/ok", 200, [False]),
        ("GET", "/healthcheck/fail", 405, []),
        ("POST", "/healthcheck", 405, []),
        ("POST", "/stats", 405, []),
        ("GET", "/", 404, []),
        ("GET", "", 404, []),
        ("GET", "stats", 404, []),
        ("GET", "//stats", 404, []),
        ("POST", "/backends/a/maint/more", 404, []),
        ("POST", "/backends/a/other", 404, []),
    ],
)
def test_each_operator_call_is_carried_out_or_rejected(
    method: str, path: str, status: int, calls: list[object]
) -> None:
    service = FakeService()
    assert (route(method, path, service)[0], service.calls) == (status, calls)


def test_statistics_are_listed_by_class_and_outcome() -> None:
    figures = Figures(["lookup", "report"])
    for status in (200, 200, 429, 503, 502, 504):
        figures.count("lookup", status)
    assert figures.text(7, 2, 10, 3).splitlines() == [
        "gateway.passed.lookup=2",
        "gateway.passed.report=0",
        "gateway.dropped.lookup=2",
        "gateway.dropped.report=0",
        "gateway.bad_gateway.lookup=2",
        "gateway.bad_gateway.report=0",
        "gateway.upstream_tries=7",
        "gateway.in_progress=2",
        "gateway.known_backends=10",
        "gateway.skipped_backends=3",
    ]


def test_a_held_backend_gets_no_request_whatever_the_backend_list_says() -> None:
    watch = Watch(gateway(listed=backends(backend("a"), backend("b"))))
    module = watch.gateway
    module.handle(BackendHold("a", True), 100.0)
    module.handle(BackendHold("a", True), 100.0)  # holding twice is undone by one release
    assert module.avoided() == 1
    for number in range(4):
        backends_sent_to = [
            a.backend
            for a in module.handle(request(number, customer=str(number)), 100.0)
            if isinstance(a, Send)
        ]
        assert backends_sent_to == ["b"]
        # listed as serving, as gone, and as restarted: it stays held, by its id
        module.handle(backends(backend("a"), backend("b")), 100.0)
        module.handle(backends(backend("a", status=Status.GONE), backend("b")), 100.0)
        module.handle(backends(replace(backend("a"), started=99.0), backend("b")), 100.0)
    module.handle(BackendHold("a", False), 101.0)
    assert module.avoided() == 0
    server = module.servers["a"]
    assert (
        server.cold_share(101.0, module.settings) == module.settings.cold_from
    )  # it may have been restarted
    module.handle(BackendHold("nobody", True), 101.0)
    module.handle(BackendHold("nobody", False), 101.0)


def test_two_processes_together_keep_to_one_ceiling() -> None:
    """Seeded: both use all that their share allows, while they start to overlap, and separate again."""
    for seed in range(300):
        chance = random.Random(seed)
        old, new = gateway(plans=(CAPPED,), gateways=1), gateway(now=101.0, plans=(CAPPED,), gateways=1)
        new.handle(Shared(True), 101.0)  # it finds the mark of the other process before it serves
        noticed_at, parted_at, now, level = (
            101.0 + chance.random() / 10,
            101.0 + 5 * chance.random(),
            100.0,
            0.0,
        )
        old.handle(request(0, "read", "capped", "c", width=1), now)
        shared = False
        for number in range(1, 400):
            step = chance.random() / 20
            now += step
            level = min(CAPPED.ceiling_depth, level + step * CAPPED.ceiling_rate)
            if now >= noticed_at and not shared:
                shared = True
                old.handle(Shared(True), now)
            if now >= parted_at and new.admission.processes == 2:
                new.handle(Shared(False), now)
            for module, is_running in ((old, now < parted_at), (new, now >= 101.0)):
                if not is_running:
                    continue
                module.handle(request(number, "read", "capped", "c", width=1, deadline=now + 3), now)
                throttle = module.throttles["c"]
                throttle.refill(now)
                units = max(throttle.cap, 0.0) * chance.random()
                throttle.charge(units, now).final = True
                level -= units
            # only the first 0.1 s, in which the older process does not know of the other, may exceed it
            assert level >= -0.1 * CAPPED.ceiling_rate, seed
        assert new.admission.processes == 1


def test_damaged_marks_and_held_backends_are_ignored() -> None:
    mark, held = Mark("life", 7.5, True), {"a", "b"}
    assert Mark.read(mark.text()) == mark and read_held(held_text(held)) == held
    chance = random.Random(1)
    for text, read in ((mark.text(), Mark.read), (held_text(held), read_held)):
        for index in range(len(text) - 1):
            assert read(text[:index]) is None
            changed = bytearray(text)
            changed[index] ^= 1 << chance.randrange(8)
            assert read(bytes(changed)) in (None, mark, held)
    invalid_values: list[object] = [["x", 1, True], ["x", 1.0, 1], [1, 1.0, True], ["x", 1.0], {}, None, "x"]
    assert all(Mark.read(encode_record("mark", value)) is None for value in invalid_values)
    assert read_held(encode_record("held", [1])) is None and read_held(encode_record("mark", ["a"])) is None


def test_in_any_order_of_starts_and_ends_one_process_accepts_clients() -> None:
    """Seeded: processes start, serve and end at any moment; the present marks alone decide."""
    for seed in range(3000):
        chance = random.Random(seed)
        running: list[Mark] = []
        for step in range(60):
            event = chance.random()
            if event < 0.3 and len(running) < 3:
                running.append(Mark(f"life{step}", float(step // 3), False))  # some start at the same moment
            elif event < 0.5 and running:
                running.remove(chance.choice(running))
            elif running:
                number = chance.randrange(len(running))
                running[number] = replace(running[number], serves=True)
            stages = [stage_of(mark, running) for mark in running]
            accepting = [m for m, stage in zip(running, stages, strict=True) if stage is not Stage.SUCCEEDED]
            assert accepting or not running, seed
            if any(m.serves for m in running):
                assert sum(m.serves for m in accepting) == 1, seed  # and the others do not serve yet
            assert (len(running) == 1) == (Stage.ALONE in stages), seed
