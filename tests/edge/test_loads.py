"""In-flight counts: keepers' sums equal the gateways' counts once no message is in transit."""

from __future__ import annotations

import random

import pytest

from embersill.edge.records import Effects, Roster, Seat
from embersill.edge.discovery.loads import Loads
from embersill.edge.peers.peer_set import Hello, PeerSet

ZONES = {"k1": "a", "g1": "a", "g2": "a", "k2": "b", "g3": "b"}


def hello(name: str) -> Hello:
    return Hello(name, name, ZONES[name], name, name.startswith("k"), "s", "b")


class Zone:
    """Gateways in two zones, whose links deliver messages in order, with delays drawn from a seed."""

    def __init__(self, seed: int) -> None:
        self.chance = random.Random(seed)
        self.effects = {name: Effects() for name in ZONES}
        self.peers = {name: PeerSet(hello(name), [], self.effects[name], 0.0) for name in ZONES}
        self.loads = {name: Loads(hello(name), self.peers[name], self.effects[name]) for name in ZONES}
        self.others: dict[str, dict[str, int]] = {name: {} for name in ZONES}
        self.due: set[str] = set()
        for name, loads in self.loads.items():
            self.peers[name].roster = Roster(1, {"k1": Seat("k1", "s"), "k2": Seat("k2", "s")})
            loads.on_due = lambda delay, name=name: self.due.add(name)  # type: ignore[misc]
            loads.on_others = self.others[name].update
        for source in ZONES:
            for other in ZONES:
                if source != other and "k" in source[0] + other[0]:
                    self.peers[source].link(hello(other), 0.0)

    def deliver(self, least: int = 0) -> None:
        """Delivers some of the messages in transit, the oldest of each sender first."""
        for _ in range(10000):
            ready = [name for name, effects in self.effects.items() if effects.mail]
            if not ready and not self.due or least and self.chance.random() < 0.1:
                return
            if self.due and (not ready or self.chance.random() < 0.3):
                self.loads[self.due.pop()].flush()
                continue
            sender = self.chance.choice(ready)
            to, message = self.effects[sender].mail.pop(0)
            if to not in self.peers[sender].linked:
                continue
            if message["kind"] == "out":
                self.loads[to].record_report(sender, message["out"])
            else:
                self.loads[to].heard(message["out"])


@pytest.mark.parametrize("seed", range(8))
def test_sums_are_what_all_have_out_also_after_links_were_lost(seed: int) -> None:
    zone = Zone(seed)
    out: dict[str, dict[str, tuple[str, int]]] = {name: {} for name in ZONES}
    for _ in range(300):
        name, backend = zone.chance.choice(sorted(ZONES)), zone.chance.choice(["x1", "x2", "y1"])
        out[name][backend] = {"x": "a", "y": "b"}[backend[0]], zone.chance.randrange(4)
        zone.loads[name].report(out[name])
        zone.deliver(least=1)
        if zone.chance.random() < 0.05:
            keeper, gateway = zone.chance.choice(["k1", "k2"]), zone.chance.choice(["g1", "g2", "g3"])
            zone.deliver()
            for one, other in ((keeper, gateway), (gateway, keeper)):
                zone.peers[one].unlink(other, 0.0)
                zone.loads[one].unlinked(other)
            for one, other in ((keeper, gateway), (gateway, keeper)):
                zone.peers[one].link(hello(other), 0.0)
                zone.loads[one].linked(other)
    zone.deliver()
    for keeper, names in (("k1", ("x1", "x2")), ("k2", ("y1",))):
        for backend in names:
            whole = sum(told.get(backend, ("", 0))[1] for told in out.values())
            assert zone.loads[keeper].sums.get(backend, 0) == whole
            for name in ZONES:
                if ZONES[name] == ZONES[keeper] and zone.others[name].get(backend, -1) >= 0:
                    assert zone.others[name][backend] >= 0
    assert not zone.loads["k1"].changed and not zone.loads["k2"].changed


def test_a_gateway_hears_what_the_others_have_out_and_not_its_own() -> None:
    zone = Zone(1)
    zone.loads["g1"].report({"x1": ("a", 2)})
    zone.loads["g3"].report({"x1": ("a", 1)})
    zone.deliver()
    assert zone.others["g1"] == {"x1": 1} and zone.others["g2"] == {"x1": 3} and zone.others["g3"] == {}
    zone.peers["g1"].unlink("k1", 0.0)
    zone.loads["g1"].unlinked("k1")
    assert zone.others["g1"] == {"x1": -1}  # without the keeper the count is unknown
    zone.peers["k1"].unlink("g1", 0.0)
    zone.loads["k1"].unlinked("g1")
    zone.deliver()
    assert zone.others["g2"] == {"x1": 1}  # a lost gateway's attempts no longer count
