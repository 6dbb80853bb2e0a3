"""A fleet and an overloaded discovery service of fixed capacity. No sockets, no real time."""

from __future__ import annotations

import heapq
import random

import pytest

from embersill.pacing import SERVICE_CALLS_PER_S, DiscoveryPacing

TIMEOUT_S = 2.0  # after which the service fails a call that is still queued
MAX_QUEUE = 3.0  # time-outs' worth of queued work, from which the service rejects calls


def play(paces: list[DiscoveryPacing], seconds: float, rate: float) -> tuple[list[float], list[float]]:
    """The times of each gateway's first list, and of all calls; the service works on failed calls too."""
    order = list(range(len(paces)))
    due = [(pace.first() + 0.001 * number, number) for number, pace in enumerate(paces)]
    heapq.heapify(due)
    had, calls, free = [float("inf")] * len(order), [], 0.0
    while due and due[0][0] < seconds:
        now, number = heapq.heappop(due)
        calls.append(now)
        free = max(free, now)
        if free - now > MAX_QUEUE * TIMEOUT_S:
            heapq.heappush(due, (now + 0.002 + paces[number].failed(), number))
            continue
        free += 1.0 / rate
        waits = min(TIMEOUT_S, paces[number].answer_timeout)
        if free - now > waits:
            heapq.heappush(due, (now + waits + paces[number].failed(), number))
        else:
            had[number] = free
    return had, calls


def busiest(calls: list[float]) -> int:
    return max(sum(1 for c in calls if begin <= c < begin + 1.0) for begin in calls)


@pytest.mark.parametrize("gateways", [4, 40, 200])
def test_a_fleet_that_starts_in_step_has_its_lists_in_four_turns_of_all(gateways: int) -> None:
    spread = gateways / SERVICE_CALLS_PER_S
    for seed in range(100):
        seeds = random.Random(seed)
        paces = [DiscoveryPacing(False, gateways, seeds.getrandbits(32)) for _ in range(gateways)]
        had, calls = play(paces, 8 * spread + 8, SERVICE_CALLS_PER_S)
        assert max(had) < 4 * spread + 4, seed
        assert busiest(calls) <= 4 * SERVICE_CALLS_PER_S, seed


def test_calls_made_again_at_once_keep_such_a_service_from_answering_anyone() -> None:
    # the waits meant for a local agent, which were once used for a shared service too
    had, calls = play([DiscoveryPacing(True) for _ in range(40)], 30.0, SERVICE_CALLS_PER_S)
    assert sum(h < 30.0 for h in had) < 20 and busiest(calls) >= 40


def test_a_pushed_list_is_asked_for_at_once_and_again_soon() -> None:
    pace = DiscoveryPacing(True, 40, 1)
    assert pace.first() == 0.0
    assert [pace.failed() for _ in range(6)] == [0.05, 0.1, 0.2, 0.2, 0.2, 0.2]
    pace.answered()
    assert pace.failed() == 0.05


def test_an_agent_that_is_back_is_heard_within_half_a_second() -> None:
    # the worst case: the time-out of a call made just before it is back, then the wait for the next one
    pace = DiscoveryPacing(True, 40, 1)
    waits = [pace.failed() for _ in range(40)]
    assert max(waits) + pace.list_timeout < 0.5
    assert DiscoveryPacing(False, 40, 1).list_timeout >= 2.0  # a shared service is given time to answer


def test_waits_for_a_service_grow_and_have_a_bound() -> None:
    pace = DiscoveryPacing(False, 40, 1)
    waits = [pace.failed() for _ in range(50)]
    assert all(0.5 * 8.0 <= w <= 1.5 * 16.0 for w in waits) and max(waits) > 16.0
    pace.answered()
    assert pace.failed() <= 1.5 * 8.0
