"""A lapsed tenant taken down a ladder in a town, and what it and all others meet: the experiment of lapses.

A town is played twice with one seed, with the order and without it. The lapsed tenant has callers of several
kinds; what each gateway, zone, route and kind of caller met in a step is held against the others.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from statistics import pstdev

from embersill.edge.configuration.lapses import Slowed, lapses_of
from embersill.lab.edge.fleet import Machine, change
from embersill.lab.edge.town import (
    CLIENT_TIMEOUT_S,
    QUOTA_WINDOW_S,
    Gateway,
    RequestRecord,
    SystemSimulation,
    quantile,
    served_share,
    served_durations,
    system_with_tenants,
    worth,
)

LAPSED, OTHERS = "lapsed", ("dispatch", "ferries", "pharmacy")
ASKED, OTHERS_ASKED = 40.0, 8.0  # requests a second and gateway: the lapsed tenant's, each other one's
QUOTA, OTHERS_QUOTA = 30.0, 16.0  # a second and gateway, and the burst
BACKENDS_EACH = 3  # backends a gateway
CALM, STEP, AFTER = 6.0, 12.0, 8.0  # seconds before the order, of each step, after the tenant is restored
SHARES = 0.5, 0.2, 0.1
SETTLES = 3.0  # seconds from a step's beginning until what was accrued before it is used up
LOOK = 0.1  # seconds between looks at the step that is in force
ROUTES = 2
TROUBLES = (
    "calm",
    "holder killed",
    "gateway cut off",
    "core cut",
    "all killed",
    "quota changed",
    "one gateway",
    "ten lapsed",
    "backends lost",
)
# in service; turned away by chance; a smaller burst alone; rank alone; held for longer; a fixed part each
WAYS = "tokens by demand", "random shedding", "shrinking burst", "lower priority", "delay", "even tokens"
DELAY = 0.1  # seconds that each request is held, divided by the share: "delay"
MANY = 14  # gateways up to which a tenant presses with ten times its usual
FEW = 20  # requests below which a share says nothing


@dataclass(slots=True)
class Played:
    """One run: all requests, and since when each step was in force."""

    system: SystemSimulation
    began: list[tuple[float, int]] = field(default_factory=list)  # when each step was first seen; -1: free
    # gateways that were lost: name, from when, until when
    gone: list[tuple[str, float, float]] = field(default_factory=list)
    steps: list[int] = field(default_factory=list)  # as agreed on, by number

    def window(self, step: int) -> tuple[float, float]:
        """The time in which a step was settled in force; empty if it never was."""
        found = [at for at, one in self.began if one == step]
        if not found:
            return math.inf, -math.inf
        after = [at for at, one in self.began if at > found[0]]
        return found[0] + SETTLES, min(after, default=self.system.kernel.now)

    def sound(self, one: RequestRecord) -> bool:
        """True if its gateway was there, and settled, while the request was."""
        return not any(
            name == one.gateway and since - CLIENT_TIMEOUT_S <= one.asked_at < until + SETTLES
            for name, since, until in self.gone
        )


class WeighedGateway(Gateway):
    """A gateway that slows the lapsed tenant in one of the ways that were weighed and left."""

    way, share = "", 1.0

    def begin(self, way: str) -> None:
        """Slows the lapsed tenant down in this way from now on."""
        self.way = way
        self.drawn = random.Random(f"{self.name}/{way}")
        self.rate, self.level, self.filled_at = QUOTA, QUOTA, 0.0  # its even part: "even tokens"

    def slowed(self, share: float) -> None:
        """The lapsed tenant has this share of its rate from now on."""
        self.share = share
        if self.way == "lower priority":
            self.decider.attempts.slowed_tenants = {LAPSED: Slowed(0.0, 0.0, share - 1.0)}

    def request(
        self, tenant: str, patience: float, route: str = "r0", repeat: bool = False, caller: str = ""
    ) -> RequestRecord | None:
        """A request; the lapsed tenant's goes the way that is weighed."""
        if tenant != LAPSED or self.share >= 1.0 or self.node is None:
            return super().request(tenant, patience, route, repeat, caller)
        now = self.fleet.kernel.now
        if self.way == "delay":
            told = RequestRecord(tenant, self.name, now, caller=caller, route=route)
            held = min(DELAY / self.share, patience / 2)

            def go_on() -> None:
                made = Gateway.request(self, tenant, patience - held, route, repeat, caller)
                if made is not None:
                    made.asked_at = now

            self.process.after(held, go_on)
            return told
        if self.way == "random shedding" and self.drawn.random() > self.share:
            return self.turned_away(tenant, route, caller)
        if self.way == "even tokens":
            rate = self.rate * self.share
            self.level = min(self.level + rate * (now - self.filled_at), rate)
            self.filled_at = now
            if self.level < 1.0:
                return self.turned_away(tenant, route, caller)
            self.level -= 1.0
        return super().request(tenant, patience, route, repeat, caller)

    def turned_away(self, tenant: str, route: str, caller: str) -> RequestRecord:
        """A request that is refused before any decision."""
        system, now = self.fleet, self.fleet.kernel.now
        assert isinstance(system, SystemSimulation)
        told = RequestRecord(tenant, self.name, now, now, "refused", True, caller=caller, route=route)
        system.requests.append(told)
        return told


class WeighedTown(SystemSimulation):
    """A town whose gateways slow a tenant down in the way that is weighed."""

    machine_type = WeighedGateway


def order(system: SystemSimulation, tenant: str, body: dict[str, object]) -> bool:
    """An operator's order, sent to one gateway after the other until it has a clear answer."""
    for number in range(40):
        machine = system.machines[number % len(system.machines)]
        heard = machine.call("lapse", {"id": tenant, "by": "staff", **body})
        system.run(0.6)
        if heard and heard[0].status == 200:
            return True
    return False


def callers(system: SystemSimulation, tenant: str, per_s: float, until: float, one: bool = False) -> None:
    """A tenant's callers: half keep to a gateway, half meet any; with `one` all crowd at one, then move."""
    machines, chance = system.machines, system.kernel.stream(f"places of {tenant}")
    uneven = [machine for n, machine in enumerate(machines) for _ in range(1 + n % 3)]
    if one:
        start = system.kernel.now

        def crowd() -> Machine:
            up = [m for m in machines if m.node is not None] or machines
            return up[int((system.kernel.now - start) / 9.0) * 7 % len(up)]

        return system.generate_traffic(tenant, per_s, crowd, until, CLIENT_TIMEOUT_S, 1, "crowd", ROUTES)

    def up(choices: list[Machine]) -> Machine:
        return chance.choice([m for m in choices if m.node is not None] or machines)

    system.generate_traffic(tenant, per_s / 2, lambda: up(uneven), until, CLIENT_TIMEOUT_S, 1, "new", ROUTES)
    for number, machine in enumerate(machines):  # kept connections: a lost gateway's go elsewhere meanwhile
        part = per_s / 2 * (1 + number % 3) / sum(1 + n % 3 for n in range(len(machines)))
        system.generate_traffic(
            tenant,
            part,
            lambda m=machine: up([m]),  # type: ignore[misc]
            until,
            CLIENT_TIMEOUT_S,
            1,
            f"kept {number}",
            ROUTES,
        )
    return None


def play(
    gateways: int, trouble: str = "calm", seed: int = 1, ordered: bool = True, way: str = WAYS[0]
) -> Played:
    """A town of so many gateways with that trouble; AssertionError if a rule is broken on the way."""
    quotas = {LAPSED: (QUOTA * gateways, QUOTA * gateways)}
    quotas |= {name: (OTHERS_QUOTA * gateways, OTHERS_QUOTA * gateways) for name in OTHERS}
    more = [f"lapsed{n}" for n in range(9)] if trouble == "ten lapsed" else []
    quotas |= dict.fromkeys(more, (2.0 * gateways, 2.0 * gateways))
    system = system_with_tenants(
        seed,
        gateways,
        quotas,
        ROUTES,
        BACKENDS_EACH * max(gateways, 5),
        SystemSimulation if way == WAYS[0] else WeighedTown,
    )
    played, start = Played(system), system.kernel.now
    end = start + CALM + STEP * len(SHARES) + AFTER
    pressing, times = trouble == "one gateway", 10.0 if gateways <= MANY else 3.0
    callers(system, LAPSED, ASKED * gateways * (times if pressing else 1.0), end, pressing)
    for name in OTHERS:
        callers(system, name, OTHERS_ASKED * gateways, end)
    for name in more:
        callers(system, name, 2.0 * gateways, end)
    system.run(CALM)
    ladder = [{"share": share, "lasts_s": STEP} for share in SHARES]
    if way != WAYS[0]:
        return weighed(played, way, end)
    if ordered:
        for name in (LAPSED, *more):
            assert order(system, name, {"action": "start", "ladder": ladder}), "the order was not taken"
    struck(system, trouble, played)
    while system.kernel.now < end - AFTER:
        system.run(LOOK)
        look(played)
    if ordered:
        system.quota_bounds.pop(LAPSED, None)
        assert order(system, LAPSED, {"action": "restore"}), "it was not restored"
    look(played)
    system.run(max(end - system.kernel.now, 0.0) + CLIENT_TIMEOUT_S + 1.0)
    played.steps = [
        orders[LAPSED]["step"] for _, orders in sorted(system.lapse_orders.items()) if LAPSED in orders
    ]
    return played


def weighed(played: Played, way: str, end: float) -> Played:
    """The same ladder by one of the ways that were left; what passes the step's rate is noted."""
    system = played.system
    system.fail_on_violation = False
    gateways = [machine for machine in system.machines if isinstance(machine, WeighedGateway)]
    for machine in gateways:
        machine.begin(way)
    whole = QUOTA * len(gateways)
    for step, share_now in enumerate(SHARES):
        played.began.append((system.kernel.now, step))
        for machine in gateways:
            machine.slowed(share_now)
        if way == "shrinking burst":
            change_quota(system, burst=share_now)
        system.quota_bounds.pop(LAPSED, None)
        system.run(QUOTA_WINDOW_S)
        system.enforce_quota(LAPSED, whole * share_now, whole * share_now)
        system.run(STEP - QUOTA_WINDOW_S)
    played.began.append((system.kernel.now, -1))
    system.quota_bounds.pop(LAPSED, None)
    for machine in gateways:
        machine.slowed(1.0)
    system.run(max(end - system.kernel.now, 0.0) + CLIENT_TIMEOUT_S + 1.0)
    return played


def look(played: Played) -> None:
    """Notes a step that is seen for the first time, and holds the tenant to it once a window has passed."""
    system = played.system
    known = [lapses_of(m.node.state)["orders"] for m in system.machines if m.node is not None]
    orders = max((one for one in known if LAPSED in one), key=lambda one: one[LAPSED]["step"], default=None)
    if orders is None:
        return
    order_of = orders[LAPSED]
    step = -1 if order_of["phase"] == "restored" else order_of["step"]
    now = system.kernel.now
    if step != (played.began[-1][1] if played.began else -1):
        played.began.append((now, step))
        system.quota_bounds.pop(LAPSED, None)
    elif step >= 0 and LAPSED not in system.quota_bounds and now - played.began[-1][0] > QUOTA_WINDOW_S:
        tables = [m.node.table for m in system.machines if m.node is not None and m.node.table is not None]
        slowed_tenants = [table.slowed_tenants[LAPSED] for table in tables if LAPSED in table.slowed_tenants]
        if slowed_tenants:
            system.enforce_quota(
                LAPSED, max(one.rate for one in slowed_tenants), max(one.burst for one in slowed_tenants)
            )


def struck(system: SystemSimulation, trouble: str, played: Played) -> None:
    """Sets the trouble's times, from the order on."""
    kernel, machines, now = system.kernel, system.machines, system.kernel.now

    def lose(victims: Iterable[Machine], seconds: float) -> None:
        lost = [m for m in victims if m.node is not None]
        for machine in lost:
            played.gone.append((machine.name, kernel.now, kernel.now + seconds))
            machine.kill()
        for machine in lost:
            kernel.at(kernel.now + seconds, machine.start)

    def holder() -> list[Machine]:
        names = [lapses_of(m.node.state)["holder"] for m in machines if m.node is not None]
        return [system.by_name[name] for name in names if name][:1]

    if trouble == "holder killed":  # between deciding and telling, or telling and binding
        for at in (STEP - 0.02, 2 * STEP + 0.3):
            kernel.at(now + at, lambda: lose(holder(), 4.0))
    elif trouble == "gateway cut off":  # through two steps
        kernel.at(now + STEP / 2, system.cut, {machines[-1].name})
        kernel.at(now + 2.5 * STEP, system.heal)
        played.gone.append((machines[-1].name, now + STEP / 2, now + 2.5 * STEP))
    elif trouble == "core cut":
        kernel.at(now + STEP - 0.5, system.cut, {machines[0].name})
        kernel.at(now + STEP + 5.0, system.heal)
        played.gone.append((machines[0].name, now + STEP - 0.5, now + STEP + 5.0))
    elif trouble == "all killed":
        kernel.at(now + 1.5 * STEP, lambda: lose(list(machines), 0.6))
    elif trouble == "quota changed":
        kernel.at(now + 1.5 * STEP, lambda: change_quota(system, 0.5, 0.5))
    elif trouble == "backends lost":
        lost = [name for n, name in enumerate(system.backends) if n % 3 == 0]
        kernel.at(now + STEP / 2, system.backends_down.update, lost)


def change_quota(system: SystemSimulation, rate: float = 1.0, burst: float = 1.0) -> None:
    """A new configuration with so much of the lapsed tenant's quota."""
    gateway = system.machines[-1]
    assert gateway.node is not None
    state = gateway.node.state
    body = {**change(state["version"] + 1, state["version"], ROUTES)}
    body["tenants"] = {name: dict(tenant) for name, tenant in state["document"].get("tenants", {}).items()}
    usual = QUOTA * len(system.machines)
    body["tenants"][LAPSED] |= {"rate_per_s": usual * rate, "burst_size": usual * burst}
    gateway.call("PUT", body)


# what it came to


def parted(asked: list[RequestRecord], key: Callable[[RequestRecord], str]) -> list[list[RequestRecord]]:
    """By gateway, zone, route or caller, those with enough requests to say something."""
    found: dict[str, list[RequestRecord]] = {}
    for one in asked:
        found.setdefault(key(one), []).append(one)
    return [part for part in found.values() if len(part) >= FEW]


def errors_of(parts: int) -> float:
    """Standard errors from the mean at which the largest of so many lies, about."""
    return max(2.0, math.sqrt(2 * math.log(parts)))


def unevenness(asked: list[RequestRecord], key: Callable[[RequestRecord], str], least: float = 0.0) -> float:
    """The largest difference in the share served between any two, beyond what chance alone makes.

    Chance: as many standard errors of a share at either end as the most and the least of so many parts lie
    from the mean by themselves, two at the least.
    """
    parts = parted(asked, key)
    if len(parts) < 2:
        return least
    shares = [(served_share(part), len(part)) for part in parts]
    whole = served_share(asked)
    low, high = min(shares), max(shares)
    errors = 1 / math.sqrt(low[1]) + 1 / math.sqrt(high[1])
    chance = errors_of(len(parts)) * math.sqrt(whole * (1 - whole)) * errors
    return max(high[0] - low[0] - chance, least)


def spread(asked: list[RequestRecord], key: Callable[[RequestRecord], str]) -> float:
    """The largest difference of the median time of an answer between any two, as a part of the whole's.

    Beyond chance, as `unevenness`: a median is known to 1.25 standard errors of a mean.
    """
    whole = served_durations(asked)
    parts = [own for own in map(served_durations, parted(asked, key)) if len(own) >= FEW]
    medians = sorted((quantile(own, 0.5), len(own)) for own in parts)
    if len(medians) < 2:
        return 0.0
    errors = 1 / math.sqrt(medians[0][1]) + 1 / math.sqrt(medians[-1][1])
    chance = errors_of(len(parts)) * 1.25 * pstdev(whole) * errors
    return max(medians[-1][0] - medians[0][0] - chance, 0.0) / quantile(whole, 0.5)


def passed(played: Played) -> float:
    """What the tenant was served in settled steps, as a part of what the steps allow."""
    served = allowed = 0.0
    for step, share_now in enumerate(SHARES):
        since, until = played.window(step)
        if until > since:
            allowed += QUOTA * len(played.system.machines) * share_now * (until - since)
            served += sum(
                one.tenant == LAPSED and one.end == "served" and since <= one.asked_at < until
                for one in played.system.requests
            )
    return served / max(allowed, 1e-9)


def measured(played: Played, without: Played) -> dict[str, float]:
    """The figures of a run, with the same run without an order beside it."""
    system = played.system
    sound = [one for one in system.requests if played.sound(one)]
    figures = dict.fromkeys(
        (
            "evenness",
            "evenness_raw",
            "evenness_zones",
            "evenness_routes",
            "evenness_callers",
            "wait_p50_spread",
        ),
        0.0,
    )
    for step in range(len(SHARES)):
        since, until = played.window(step)
        inside = [
            one for one in sound if one.tenant == LAPSED and since <= one.asked_at < until - CLIENT_TIMEOUT_S
        ]
        parts = parted(inside, lambda one: one.gateway)
        raw = max(map(served_share, parts)) - min(map(served_share, parts)) if parts else 0.0
        zone = {machine.name: machine.zone for machine in system.machines}
        for name, found in (
            ("evenness", unevenness(inside, lambda one: one.gateway)),
            ("evenness_raw", raw),
            ("evenness_zones", unevenness(inside, lambda one, zone=zone: zone[one.gateway])),  # type: ignore[misc]
            ("evenness_routes", unevenness(inside, lambda one: one.route)),
            ("evenness_callers", unevenness(inside, lambda one: one.caller.partition(" ")[0])),
            ("wait_p50_spread", spread(inside, lambda one: one.gateway)),
        ):
            figures[name] = max(figures[name], found)
    others = [
        [one for one in run.system.requests if one.tenant in OTHERS and played.sound(one)]
        for run in (played, without)
    ]
    figures["others_worth_ratio"] = worth(others[0]) / max(worth(others[1]), 1e-9)
    figures["others_p99_ratio"] = quantile(served_durations(others[0]), 0.99) / max(
        quantile(served_durations(others[1]), 0.99), 1e-9
    )
    figures["lost"] = sum(not one.end or one.end == "failed" for one in sound)
    figures["doubled"] = sum(one.runs > 1 for one in system.requests)
    taken = played.steps
    figures["steps_skipped"] = sum(
        after - before > 1 for before, after in zip(taken, taken[1:], strict=False)
    )
    down = [step for step, before in zip(taken[1:], taken, strict=False) if step != before and step >= 0]
    figures["steps_repeated"] = len(down) - len(set(down))
    figures["steps_taken"] = len(set(down))
    figures["overshoot"] = system.peak_quota_usage.get(LAPSED, 0.0)
    figures["passed"] = passed(played)
    return {name: round(figure, 4) for name, figure in figures.items()}
