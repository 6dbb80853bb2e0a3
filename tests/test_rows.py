"""The subset of backends that each of many gateways uses: even coverage, and the rest as a fallback."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace

import pytest

from embersill.control import Gateway
from embersill.interface import Backend, ListKind, Outcome, Send, Status
from tests.helpers import SETTINGS, backend, backends, ended, request


def fleet(gateways: int, listed: list[Backend]) -> list[Gateway]:
    made = []
    for number in range(gateways):
        one = Gateway(replace(SETTINGS, me=number, gateways=gateways), number, 100.0)
        # each gateway gets the list in another order
        one.handle(backends(*random.Random(number).sample(listed, len(listed))), 100.0)
        one.fleet("").update_warmth()
        made.append(one)
    return made


def subset(one: Gateway) -> set[str]:
    return {s.backend.address for s in one.fleet("").near}


def sent_to(one: Gateway, number: int, now: float) -> str:
    for action in one.handle(request(number, customer=f"x{number}", width=1, deadline=now + 4), now):
        if isinstance(action, Send):
            one.handle(ended(number, 0, action.backend, Outcome.SERVED, 0.1), now + 0.01)
            return action.backend
    return ""


@pytest.mark.parametrize("count", [17, 67, 130, 199, 200])
def test_rows_cover_all_backends_alike_and_neighbours_share_little(count: int) -> None:
    made = fleet(200, [backend(f"b{n}") for n in range(count)])
    covers = Counter(name for one in made for name in subset(one))
    assert len(covers) == count
    assert max(covers.values()) - min(covers.values()) <= 4  # random subsets differ by 20 and more
    if count >= 67:  # customers use consecutive gateways: these must not load the same backends
        assert all(
            len(subset(a) & subset(b)) <= len(subset(a)) // 2 for a, b in zip(made, made[1:], strict=False)
        )


def test_few_gateways_or_few_backends_use_all() -> None:
    for gateways, count in ((3, 200), (2, 8), (200, 16)):
        listed = [backend(f"b{n}") for n in range(count)]
        assert all(len(subset(one)) == count for one in fleet(gateways, listed)[:3])


def test_connections_are_used_again_over_two_hundred_gateways() -> None:
    """Connections must be reused: without subsets a calm day had 19,153 new ones for some 26,000 attempts."""
    pairs, attempts = set(), 0
    for one in fleet(200, [backend(f"b{n}") for n in range(130)]):
        for number in range(130):
            place = sent_to(one, number, 100.0 + number / 6)
            attempts += bool(place)
            pairs.add((one.settings.me, place))
    assert attempts > 25_000 and len(pairs) <= 200 * 16


def test_a_row_that_drains_or_fails_is_left_at_once() -> None:
    listed = [backend(f"b{n}") for n in range(130)]
    one = fleet(200, listed)[7]
    before = subset(one)
    gone = [backend(name, status=Status.DRAINING) for name in before]
    one.handle(backends(*gone, kind=ListKind.CHANGES), 101.0)
    assert {sent_to(one, number, 101.0 + number / 50) for number in range(50)}.isdisjoint(before | {""})
    for server in one.fleet("").near:
        server.limit = 0.0  # each is at its limit
    assert sent_to(one, 99, 103.0) not in subset(one) | {""}


def test_a_keyed_repeat_stays_in_its_group_also_where_the_row_has_none_of_it() -> None:
    listed = [backend(f"b{n}", cell=n // 4) for n in range(130)]
    one = fleet(200, listed)[3]
    for number in range(40):
        actions = one.handle(request(number, "keyed", customer=f"x{number}", width=1), 100.0 + number / 50)
        first = next(a.backend for a in actions if isinstance(a, Send))
        again = one.handle(ended(number, 0, first, Outcome.BROKEN), 100.01 + number / 50)
        cell = one.servers[first].backend.cell
        assert all(one.servers[a.backend].backend.cell == cell for a in again if isinstance(a, Send))


@pytest.mark.parametrize("part", [0.1, 0.6])
def test_cold_backends_get_alike_from_gateways_of_uneven_load(part: float) -> None:
    """Summed over 200 gateways, some with eight times the mean load, no cold backend gets twice the mean."""
    fresh = int(130 * part)
    listed = [backend(f"b{n}", started=98.0 if n < fresh else None) for n in range(130)]
    chance, got = random.Random(5), Counter[str]()
    for one in fleet(200, listed):
        for number in range(chance.choice((40, 80, 80, 120, 640))):
            got[sent_to(one, number, 100.0 + number / 700)] += 1
    cold = [got[f"b{n}"] for n in range(fresh)]
    warm = [got[f"b{n}"] for n in range(fresh, 130)]
    assert min(cold) > 0 and max(cold) <= 2 * sum(cold) / len(cold)
    assert sum(cold) / len(cold) < sum(warm) / len(warm)
