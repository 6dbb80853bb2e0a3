"""The extra cost of a request with a council: nothing at a forwarder, three calls at a planner."""

from __future__ import annotations

import sys
from types import FrameType

from embersill.council.probes import Suspicions
from embersill.council.usage import Tally
from tests.tiers.helpers import Bench

REQUESTS = 60


def calls(council: bool) -> tuple[int, float]:
    """The Python calls that the requests take at forwarders and planners, and the units that were counted."""
    bench, tally, suspicions = Bench(), Tally(60.0), Suspicions()
    bench.link_all()
    for planner in bench.planners.values():
        if council:
            planner.on_use = lambda customer, units: tally.add(customer, units, bench.now)
            planner.on_outcome = lambda backend, outcome: suspicions.note_outcome(backend, True, bench.now)
    count = [0]

    def profile(frame: FrameType, event: str, argument: object) -> None:
        if event == "call" and "embersill" in frame.f_code.co_filename:
            count[0] += 1

    sys.setprofile(profile)
    try:
        for number in range(REQUESTS):
            bench.ask("f0", number, customer=f"c{number % 5}")
            bench.exchange()
            bench.serve()
            bench.exchange()
    finally:
        sys.setprofile(None)
    return count[0], tally.units["noted"]


def test_a_request_costs_three_more_calls_at_its_planner_and_each_unit_is_counted() -> None:
    (plain, none), (more, noted) = calls(False), calls(True)
    assert none == 0.0 and noted == float(REQUESTS)
    # two in the tally and one for the outcome; lambdas of this test are not counted
    assert more - plain == 3 * REQUESTS, (plain, more)
    assert plain / REQUESTS > 50
