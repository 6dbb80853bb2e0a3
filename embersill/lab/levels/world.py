"""Plays a schedule on forwarders and planners, and judges it by the rules at every step."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import replace
from typing import Any, get_args

import msgspec

from embersill.interface import Backend, Settings, Status
from embersill.lab.levels.nodes import ForwarderNode, Member, PlannerNode, backend_of
from embersill.lab.levels.paths import Pathed, PathedForwarder, PathedPlanner
from embersill.rig.settings import RULE_WORDS, lab_settings
from embersill.tiers.messages import AnyMessage
from embersill.tiers.parts import part_of
from embersill.tiers.planner import Planner
from embersill.tiers.terms import MAX_CLOCK_DRIFT, Terms, check_terms
from embersill.world.kernel import Kernel
from embersill.world.network import LinkConditions, Network, Stream
from embersill.world.oracles import Broken, Ceiling, ClassTerms, Rules, RuleTerms
from embersill.world.records import BackendStarted, CreditsBelieved, Fault, MessageLogged, SharesHeld
from embersill.world.schedules import Schedule, Step
from embersill.world.swarm import Coverage
from embersill.world.trace import Trace

SLACK_TIME = 0.45  # seconds between a grant's charge and its writing, at most: what fills meanwhile is slack
LOOK_EVERY = 0.05  # seconds between looks at who holds what
HEAL_WITHIN = 9.0  # seconds after the last fault in which all must have come back to its place
SETTLED_AFTER = 1.0  # and those before which nobody looks whether it has
MOMENTS = {
    (phase, kind): f"{phase} {kind.__name__}" for phase in ("sent", "got") for kind in get_args(AnyMessage)
}
COLD_FROM, WARM_WITHIN = 0.1, 16.0


class World:
    """One run of one schedule. Its shape's words, all with a default:

    forwarders, planners, parts, backends: how many; seconds: for which traffic and faults go on; ceiling:
    units a second and at once of plan pro; memory: seconds for which a keyed repeat is dropped; capacity:
    requests a second that a warm backend does; bequest, beat_every: seconds, as in `Terms`;
    coded: frames go as bytes;
    weather: see `LinkConditions`;
    drift: by which clocks run apart.
    """

    def __init__(
        self,
        schedule: Schedule,
        *,
        trace: Trace | None = None,
        coverage: Coverage | None = None,
        terms: Terms | None = None,
    ) -> None:
        shape = schedule.shape
        self.schedule, self.shape = schedule, shape
        self.trace = trace if trace is not None else Trace(keep=False)
        self.coverage = coverage
        self.coded: bool = shape.get("coded", True)
        self.kernel = Kernel(schedule.seed, self.trace)
        self.network = Network(self.kernel, LinkConditions(**shape.get("weather", {})))
        self.terms = terms if terms is not None else terms_for(shape)
        self.parts: int = shape.get("parts", 4)
        self.seconds: float = shape.get("seconds", 5.0)
        self.drift = min(shape.get("drift", MAX_CLOCK_DRIFT * 0.95), MAX_CLOCK_DRIFT) / 2
        self.counts = {"tries": 0, "served": 0, "refused": 0, "failed": 0, "guarded": 0}
        self.settings = settings_for(shape)
        self.plans = {p.name: p for p in self.settings.plans}
        self.rules = Rules(rule_terms(self.settings), plan_of)
        self.trace.listeners.append(self.rules.check)
        self.backends = {
            f"b{n}": Backend(f"b{n}", "z", "k", n % 2, Status.SERVING, 1.0, None)
            for n in range(shape.get("backends", 4))
        }
        self.pinned: dict[int, Step] = {}  # aimed steps by their place in the schedule, as they came
        self.lending: set[tuple[str, int]] = (
            set()
        )  # (forwarder, part): its Lend is on its way, no ask is heard
        self.down: set[str] = set()  # backends that no connection reaches
        self.forwarder_names = [f"f{n}" for n in range(shape.get("forwarders", 3))]
        planner: type[PlannerNode] = PathedPlanner if shape.get("helpers") else PlannerNode
        forwarder: type[ForwarderNode] = PathedForwarder if shape.get("helpers") else ForwarderNode
        self.planners = [planner(self, f"p{n}") for n in range(shape.get("planners", 2))]
        self.forwarders = [forwarder(self, name) for name in self.forwarder_names]
        self.members: dict[str, Member] = {m.name: m for m in (*self.planners, *self.forwarders)}
        self.detailed = coverage is not None or self.trace.keep or any(s.on for s in schedule.steps)

    # moments and coverage

    def sent(self, sender: Member, receiver: Member, messages: Sequence[AnyMessage]) -> None:
        self.said("sent", sender, receiver, messages)

    def got(self, sender: Member, receiver: Member, messages: Sequence[AnyMessage]) -> None:
        self.said("got", sender, receiver, messages)
        if self.coverage is not None and messages:
            state = self.state_of(receiver, sender)
            for message in messages:
                self.coverage.record(type(message).__name__, state)

    def said(self, phase: str, sender: Member, receiver: Member, messages: Sequence[AnyMessage]) -> None:
        watched = self.kernel.watchers
        for message in messages:
            moment = MOMENTS[phase, type(message)]
            if self.trace.keep:
                kind = type(message).__name__
                self.trace.add(MessageLogged(self.kernel.now, phase, kind, sender.name, receiver.name))
            if moment in watched:
                self.kernel.moment(
                    moment, sender=sender.name, receiver=receiver.name, backend=backend_of(message)
                )

    def state_of(self, node: Member, other: Member) -> str:
        """A word for how things stand at a node, for the coverage of pairs."""
        if isinstance(node, PlannerNode):
            core = node.core
            led = [part for part in core.parts if part.lenders]
            if core.leaving:
                return "leaving"
            if not led:
                return "idle"
            if any(core.now < part.taken_at + self.terms.gather for part in led):
                return "gathering"
            return "whole" if all(part.whole for part in led) else "partial"
        assert isinstance(node, ForwarderNode)
        link = node.core.links[other.name]
        if not link.up or link.silent:
            return "down" if not link.up else "silent"
        if any(part.recalled for part in node.core.parts):
            return "moving"
        if link.leaving:
            return "left"
        return "obeys" if any(part.holder is link for part in node.core.parts) else "beside"

    # what the rules look at

    def obeyed(self) -> set[tuple[str, int]]:
        """Lives of planners by part: those of which anything that they grant can be executed."""
        found: set[tuple[str, int]] = set()
        for node in self.forwarders:
            if node.alive:
                for part in node.core.parts:
                    holder = part.holder
                    if holder is not None and (node.name, part.number) not in self.lending:
                        found.add((holder.incarnation, part.number))
        return found

    def usable(self, planner: PlannerNode, part: int) -> list[str]:
        return usable_at(planner.core, part, planner.clock())

    def look(self) -> None:
        """Notes who uses which share, of parts of which not all is in one hand."""
        obeyed = self.obeyed()
        lives = [(planner, f"{planner.name}.{planner.life}") for planner in self.planners if planner.alive]
        for number in range(self.parts):
            leading = [(planner, life) for planner, life in lives if (life, number) in obeyed]
            free = [
                node
                for node in self.forwarders
                if node.alive
                and node.core.parts[number].holder is None
                and node.core.parts[number].free_at() <= node.clock()
            ]
            if len(leading) + len(free) < 2:
                continue  # whoever it is uses each share once
            users: dict[str, list[str]] = {}
            for planner, life in leading:
                for name in self.usable(planner, number):
                    users.setdefault(name, []).append(life)
            for node in free:
                users.setdefault(node.name, []).append(f"{node.name}.{node.life}")
            if users:
                told = tuple((lender, tuple(by)) for lender, by in users.items())
                self.trace.add(SharesHeld(self.kernel.now, number, told))

    def look_again(self) -> None:
        self.look()
        self.kernel.at(self.kernel.now + LOOK_EVERY, self.look_again)

    def look_at(self, customer: str) -> None:
        """Notes what each process takes to be left of a customer's ceiling."""
        plan = self.plans[plan_of(customer)]
        if plan.ceiling_rate <= 0:
            return
        number = part_of(customer, self.parts)
        beliefs: list[tuple[str, float]] = []
        obeyed = self.obeyed()
        for planner in self.planners:
            if not planner.alive or (f"{planner.name}.{planner.life}", number) not in obeyed:
                continue
            throttle = planner.core.gateway.throttles.get(customer)
            if throttle is not None:
                left = throttle.filled((throttle.cap, throttle.stamp), planner.clock())
                part = len(self.usable(planner, number)) / len(self.forwarders)
                beliefs.append((f"{planner.name}.{planner.life}", min(left, plan.ceiling_depth * part)))
        for node in self.forwarders:
            if not node.alive:
                continue
            throttle, kept = node.core.local.throttles.get(customer), node.core.reserves.get(customer)
            left = kept.units if kept is not None else 0.0
            # what is decided there is allotted anew each time: what is lent counts for what waits, if it does
            if throttle is not None and (node.core.parts[number].holder is None or throttle.queue):
                left = max(left, throttle.filled((throttle.cap, throttle.stamp), node.clock()))
            beliefs.append((f"{node.name}.{node.life}", left))
        self.trace.add(CreditsBelieved(self.kernel.now, customer, tuple(beliefs)))

    # steps

    def set_up(self, place: int, step: Step) -> None:
        if not step.on:
            self.kernel.at(step.at, self.play, step)
            return
        left = [step.nth]

        def met(part: dict[str, str]) -> None:
            if self.kernel.now >= step.at and left[0] > 0 and not self.network.calm:
                left[0] -= 1
                if left[0] == 0:
                    pinned = self.pinned[place] = pin(step, part, self.kernel.now)
                    self.play(pinned)

        self.kernel.watch(step.on, met)

    def play(self, step: Step) -> None:
        who, to = step.who, step.to
        if step.what != "ask" and self.network.calm:
            return
        if step.what != "ask":
            self.trace.add(Fault(self.kernel.now, step.what, f"{who} {to}" if to else who, step.seconds))
        handler = getattr(self, f"play_{step.what}", None)
        if handler is None:
            raise ValueError(f"no step {step.what!r}")
        handler(step, who, to)

    def play_ask(self, step: Step, who: str, to: str) -> None:
        node = self.members[who]
        assert isinstance(node, ForwarderNode)
        if not node.is_running or node.retiring:
            return
        self.counts["tries"] += 1
        a = step.args
        node.take(
            self.counts["tries"], a["klass"], a["plan"], a["customer"], a["units"], a["budget"], a["fates"]
        )

    def play_pause(self, step: Step, who: str, to: str) -> None:
        if who in self.members and self.members[who].alive:
            self.members[who].reads_first = bool(step.args.get("reads_first"))
            self.members[who].pause(step.seconds)

    def play_stand(self, step: Step, who: str, to: str) -> None:
        """A suspended machine: its clock stands still with it."""
        if who in self.members and self.members[who].alive:
            self.members[who].pause(step.seconds)
            self.members[who].clocks.suspend(step.seconds)

    def play_hold(self, step: Step, who: str, to: str) -> None:
        self.network.hold_for(who, to, step.seconds)

    def play_cut(self, step: Step, who: str, to: str) -> None:
        self.network.cut_for(who, to, step.seconds)
        if step.args.get("both"):
            self.network.cut_for(to, who, step.seconds)

    def play_kill(self, step: Step, who: str, to: str) -> None:
        # at once, but not from within what it is just doing
        self.kernel.at(self.kernel.now, self.kill, who, step.seconds, bool(step.args.get("quiet")))

    def kill(self, who: str, seconds: float, quiet: bool) -> None:
        node = self.members.get(who)
        if node is not None and node.alive:
            node.kill(quiet)
            self.kernel.at(self.kernel.now + seconds, node.start)

    def play_break(self, step: Step, who: str, to: str) -> None:
        """A link ends; without `reset` only the end at `who` sees it."""
        self.kernel.at(self.kernel.now, self.end_link, who, to, bool(step.args.get("reset", True)))

    def end_link(self, who: str, to: str, reset: bool) -> None:
        one, other = self.members.get(who), self.members.get(to)
        if one is None or other is None or not one.alive:
            return
        streams: Iterable[Stream] = getattr(one, "wires", ())
        if isinstance(one, Pathed):
            streams = one.paths
        elif isinstance(one, ForwarderNode):
            streams = one.wires.values()
        for stream in [s for s in streams if s.peers[one] is other]:
            stream.close(one, reset)

    def play_leave(self, step: Step, who: str, to: str) -> None:
        self.kernel.at(self.kernel.now, self.leave, who, step.seconds)

    def leave(self, who: str, seconds: float) -> None:
        node = self.members.get(who)
        if not isinstance(node, PlannerNode) or not node.is_running or node.leaving:
            return
        node.leave()
        node.after(0.05, self.look_whether_left, node, self.kernel.now + 2.0, seconds)

    def look_whether_left(self, node: PlannerNode, end: float, seconds: float) -> None:
        if node.core.holds_nothing() or self.kernel.now >= end:
            self.kill(node.name, seconds, False)
        else:
            node.after(0.05, self.look_whether_left, node, end, seconds)

    def play_retire(self, step: Step, who: str, to: str) -> None:
        self.kernel.at(self.kernel.now, self.retire, who, step.seconds)

    def retire(self, who: str, seconds: float) -> None:
        node = self.members.get(who)
        if not isinstance(node, ForwarderNode) or not node.is_running or node.retiring:
            return
        node.retiring = True
        self.look_whether_done(node, seconds)

    def look_whether_done(self, node: ForwarderNode, seconds: float) -> None:
        if node.pending:
            node.after(0.02, self.look_whether_done, node, seconds)
        else:
            node.stop()
            node.after(0.01, self.kill, node.name, seconds, False)

    def play_drain(self, step: Step, who: str, to: str) -> None:
        """`told`: seconds until each process hears of it, by name or by its place in the moment."""
        backend = self.backends.get(who)
        serving = [b for b in self.backends.values() if b.status is Status.SERVING]
        if backend is None or backend.status is not Status.SERVING or len(serving) <= 2:
            return
        self.change(who, Status.DRAINING, step)
        if step.seconds:
            self.kernel.at(self.kernel.now + step.seconds, self.serve_again, who, step)

    def serve_again(self, who: str, step: Step) -> None:
        if self.backends[who].status is Status.DRAINING:
            self.change(who, Status.SERVING, step)

    def play_restart(self, step: Step, who: str, to: str) -> None:
        """A backend goes at once and comes back cold."""
        backend = self.backends.get(who)
        if backend is None or backend.status is not Status.SERVING or self.down or len(self.backends) < 3:
            return
        self.down.add(who)
        self.change(who, Status.GONE, step)
        self.kernel.at(self.kernel.now + step.seconds, self.come_cold, who, step)

    def come_cold(self, who: str, step: Step) -> None:
        self.down.discard(who)
        now = self.kernel.now
        self.backends[who] = replace(self.backends[who], started=now)
        self.trace.add(BackendStarted(now, who, self.shape.get("capacity", 20.0)))
        self.change(who, Status.SERVING, step)

    def change(self, who: str, status: Status, step: Step) -> None:
        after = self.backends[who] = replace(self.backends[who], status=status)
        told: dict[str, float] = step.args.get("told", {})

        def tell(node: Member) -> None:
            if self.backends[who] is after:
                node.hear(who)

        for node in self.members.values():
            late = told.get(node.name, told.get("", 0.1))
            if node.alive:
                node.after(late, tell, node)

    # the run

    def run(self) -> dict[str, float]:
        """Plays the schedule: traffic and faults, then a time in which all heals. Broken tells of a rule."""
        try:
            for member in self.members.values():
                member.start()
            for place, step in enumerate(self.schedule.steps):
                self.set_up(place, step)
            self.kernel.at(0.0, self.look_again)
            self.kernel.run(self.seconds)
            self.network.heal()
            end, wait = self.seconds + HEAL_WITHIN, self.seconds + SETTLED_AFTER
            why = "nothing was looked at"
            while why and wait <= end:
                self.kernel.run(wait)
                why = self.unsettled()
                wait += 0.1
            if why:
                raise Broken("all heals", self.kernel.now, why)
            self.rules.finish(self.kernel.now)
        except (Broken, ValueError):
            raise
        except Exception as error:  # a core that falls over has broken a rule of its own
            raise Broken("no crash", self.kernel.now, f"{type(error).__name__}: {error}") from error
        lowest = self.rules.ceilings.lowest
        return {**self.counts, "lowest": round(lowest, 3), "events": self.kernel.events}

    def unsettled(self) -> str:
        """What has not come back to its place yet; empty if all has."""
        for node in self.forwarders:
            if not node.alive or node.retiring:
                return f"{node.name} is down"
            if node.core.tasks or node.pending or node.core.asks:
                return f"{node.name} still remembers requests: {len(node.core.tasks)}"
            for part in node.core.parts:
                if part.holder is None or part.holder.name != part.order[0] or part.recalled:
                    return f"part {part.number} has not come back to its first choice at {node.name}"
        for planner in self.planners:
            if not planner.alive or planner.leaving:
                return f"{planner.name} is down"
            if planner.core.jobs or planner.core.gateway.jobs:
                return f"{planner.name} still remembers {len(planner.core.jobs)} requests"
            if any(server.flight for server in planner.core.gateway.servers.values()):
                return f"{planner.name} counts attempts that are over"
            for held in planner.core.parts:
                if held.lenders and not held.whole:
                    return f"part {held.number} is not whole at {planner.name}"
        return ""


def usable_at(core: Planner, part: int, now: float) -> list[str]:
    """The forwarders whose share of a part a planner would spend now, by its own word."""
    before, core.now = core.now, max(core.now, now)  # as if it were asked something now
    found = [lender.session.name for lender in core.usable(core.parts[part])]
    core.now = before
    return found


def pin(step: Step, part: dict[str, str], at: float) -> Step:
    """An aimed step as one at a time, with the names of those who took part in its moment."""

    def named(name: str) -> str:
        return part.get(name[1:], "") if name.startswith("@") else name

    args = dict(step.args)
    if "told" in args:  # who took part in the moment hears as such, and is named twice if all are named
        told: dict[str, float] = args["told"]
        args["told"] = {n: late for n, late in told.items() if not n.startswith("@")}
        args["told"] |= {named(n): late for n, late in told.items() if n.startswith("@")}
    return msgspec.structs.replace(
        step, at=at, on="", nth=1, who=named(step.who), to=named(step.to), args=args
    )


def plan_of(customer: str) -> str:
    """A customer of these worlds begins with its plan's name."""
    return customer.rstrip("0123456789")


def terms_for(shape: dict[str, Any]) -> Terms:
    """The terms with what a shape says of them, checked as an operator's are."""
    usual = Terms()
    terms = msgspec.structs.replace(
        usual,
        bequest=shape.get("bequest", usual.bequest),
        beat_every=shape.get("beat_every", usual.beat_every),
    )
    check_terms(terms)
    return terms


def settings_for(shape: dict[str, Any]) -> Settings:
    """The lab's settings with a ceiling under the quota, and under the demand: nothing but it holds then."""
    settings = lab_settings(shape.get("forwarders", 3))
    rate, depth = shape.get("ceiling", (8.0, 24.0))
    burst = shape.get("burst", 120.0)  # one well below the depth leaves some of it to be held in reserve
    plans = tuple(
        replace(p, rate=shape.get("quota", 60.0), burst=burst, ceiling_rate=rate, ceiling_depth=depth)
        if p.ceiling_rate > 0
        else p
        for p in settings.plans
    )
    classes = tuple(
        replace(c, memory=shape.get("memory", c.memory), aim=shape.get("aim", c.aim))
        for c in settings.classes
    )
    return replace(settings, plans=plans, classes=classes, cold_from=COLD_FROM, warm_within=WARM_WITHIN)


def rule_terms(settings: Settings) -> RuleTerms:
    return RuleTerms(
        classes={
            c.name: ClassTerms(RULE_WORDS[c.repeats], c.memory * (1 + MAX_CLOCK_DRIFT))
            for c in settings.classes
        },
        # less than the rule's own slack of a tenth or one of the largest requests: dials and drift only
        ceilings={
            p.name: Ceiling(p.ceiling_rate, p.ceiling_depth, SLACK_TIME * p.ceiling_rate + 1.0)
            for p in settings.plans
            if p.ceiling_rate > 0
        },
        max_attempts=settings.max_attempts,
        second_copies=settings.second_copies,
        cold_from=settings.cold_from,
        warm_within=settings.warm_within,
        fall_multiple=settings.fall_multiple,
        overload_for=settings.overload_for,
    )


def play(schedule: Schedule, **watching: Any) -> dict[str, float]:
    """One schedule; Broken tells which rule it breaks."""
    return World(schedule, **watching).run()
