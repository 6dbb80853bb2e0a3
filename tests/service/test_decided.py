"""What is decided of staff's calls and of one process after another. No sockets."""

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
class Staffed:
    """A gateway that notes what it is told; `a` and `b` are its backends."""

    told: list[object] = field(default_factory=list)

    def can_serve(self) -> bool:
        return True

    def stats(self) -> str:
        return "figures"

    def hold(self, backend: str, out: bool) -> bool:
        if backend not in ("a", "b/c"):
            return False
        self.told.append((backend, out))
        return True

    def set_draining(self, on: bool) -> None:
        self.told.append(on)


@pytest.mark.parametrize(
    ("method", "path", "status", "told"),
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
def test_each_call_is_carried_out_or_refused(method: str, path: str, status: int, told: list[object]) -> None:
    service = Staffed()
    assert (route(method, path, service)[0], service.told) == (status, told)


def test_figures_are_told_by_class_and_by_how_requests_ended() -> None:
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


def test_nothing_goes_to_a_backend_out_of_use_whatever_the_list_says() -> None:
    watch = Watch(gateway(listed=backends(backend("a"), backend("b"))))
    made = watch.gateway
    made.handle(BackendHold("a", True), 100.0)
    made.handle(BackendHold("a", True), 100.0)  # two calls out need one call back
    assert made.avoided() == 1
    for number in range(4):
        sent = [
            a.backend
            for a in made.handle(request(number, customer=str(number)), 100.0)
            if isinstance(a, Send)
        ]
        assert sent == ["b"]
        # the list says it serves, that it is gone, and that it is back: it stays out by its id
        made.handle(backends(backend("a"), backend("b")), 100.0)
        made.handle(backends(backend("a", status=Status.GONE), backend("b")), 100.0)
        made.handle(backends(replace(backend("a"), started=99.0), backend("b")), 100.0)
    made.handle(BackendHold("a", False), 101.0)
    assert made.avoided() == 0
    back = made.servers["a"]
    assert back.cold_share(101.0, made.settings) == made.settings.cold_from  # it may have been restarted
    made.handle(BackendHold("nobody", True), 101.0)
    made.handle(BackendHold("nobody", False), 101.0)


def test_two_processes_never_have_more_than_one_ceiling() -> None:
    """Seeded: both take all that their part allows, while they come to live together, and part again."""
    for seed in range(300):
        chance = random.Random(seed)
        old, new = gateway(plans=(CAPPED,), gateways=1), gateway(now=101.0, plans=(CAPPED,), gateways=1)
        new.handle(Shared(True), 101.0)  # it finds the other's mark before it serves
        noticed, parted, now, level = 101.0 + chance.random() / 10, 101.0 + 5 * chance.random(), 100.0, 0.0
        old.handle(request(0, "read", "capped", "c", width=1), now)
        shared = False
        for number in range(1, 400):
            step = chance.random() / 20
            now += step
            level = min(CAPPED.ceiling_depth, level + step * CAPPED.ceiling_rate)
            if now >= noticed and not shared:
                shared = True
                old.handle(Shared(True), now)
            if now >= parted and new.admission.processes == 2:
                new.handle(Shared(False), now)
            for made, lives in ((old, now < parted), (new, now >= 101.0)):
                if not lives:
                    continue
                made.handle(request(number, "read", "capped", "c", width=1, deadline=now + 3), now)
                throttle = made.throttles["c"]
                throttle.refill(now)
                units = max(throttle.cap, 0.0) * chance.random()
                throttle.charge(units, now).final = True
                level -= units
            # the first tenth of a second together, in which the older does not know, is all there is beyond
            assert level >= -0.1 * CAPPED.ceiling_rate, seed
        assert new.admission.processes == 1


def test_what_is_not_exactly_a_mark_or_a_ban_counts_as_none() -> None:
    mark, held = Mark("life", 7.5, True), {"a", "b"}
    assert Mark.read(mark.text()) == mark and read_held(held_text(held)) == held
    chance = random.Random(1)
    for text, read in ((mark.text(), Mark.read), (held_text(held), read_held)):
        for place in range(len(text) - 1):
            assert read(text[:place]) is None
            changed = bytearray(text)
            changed[place] ^= 1 << chance.randrange(8)
            assert read(bytes(changed)) in (None, mark, held)
    wrong: list[object] = [["x", 1, True], ["x", 1.0, 1], [1, 1.0, True], ["x", 1.0], {}, None, "x"]
    assert all(Mark.read(encode_record("mark", value)) is None for value in wrong)
    assert read_held(encode_record("held", [1])) is None and read_held(encode_record("mark", ["a"])) is None


def test_any_order_of_processes_leaves_one_that_takes_clients_in() -> None:
    """Seeded lives: they come, serve and end at any moment; the marks alone decide, whatever was before."""
    for seed in range(3000):
        chance = random.Random(seed)
        living: list[Mark] = []
        for step in range(60):
            what = chance.random()
            if what < 0.3 and len(living) < 3:
                living.append(Mark(f"life{step}", float(step // 3), False))  # some come at one moment
            elif what < 0.5 and living:
                living.remove(chance.choice(living))
            elif living:
                number = chance.randrange(len(living))
                living[number] = replace(living[number], serves=True)
            stages = [stage_of(mark, living) for mark in living]
            taking = [m for m, stage in zip(living, stages, strict=True) if stage is not Stage.SUCCEEDED]
            assert taking or not living, seed
            if any(m.serves for m in living):
                assert sum(m.serves for m in taking) == 1, seed  # and the others have not begun
            assert (len(living) == 1) == (Stage.ALONE in stages), seed
