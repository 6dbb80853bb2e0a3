"""Simulates forwarders and planners under a schedule and checks the rules at every step."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import replace
from typing import Any, get_args

import msgspec

from embersill.interface import Backend, Settings, Status
from embersill.lab.levels.nodes import ForwarderNode, Member, PlannerNode, backend_of
from embersill.lab.levels.paths import MultipathForwarderNode, MultipathNode, MultipathPlannerNode
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

MAX_CHARGE_TO_WRITE_S = 0.45  # from a grant's charge to its writing: what refills meanwhile is slack
SHARE_CHECK_INTERVAL_S = 0.05
RECOVERY_TIMEOUT_S = 9.0  # after the last fault: by then everything must be back in its normal place
RECOVERY_CHECK_DELAY_S = 1.0  # after the last fault: recovery is not checked before
MOMENTS = {
    (phase, kind): f"{phase} {kind.__name__}" for phase in ("sent", "got") for kind in get_args(AnyMessage)
}
COLD_FROM, WARM_WITHIN = 0.1, 16.0


class World:
    """One run of a schedule. The keys of its shape, all with a default:

    forwarders, planners, parts, backends: their numbers; seconds: duration of traffic and faults; ceiling:
    units per second and burst of plan pro; memory: seconds for which a repeated key is recognized; capacity:
    requests per second of a warm backend; bequest, beat_every: seconds, as in `Terms`;
    coded: frames are sent as bytes;
    weather: see `LinkConditions`;
    drift: maximum difference between the rates of two clocks.
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
        self.pinned: dict[int, Step] = {}  # executed aimed steps, by their index in the schedule
        # (forwarder, part) whose Lend is in flight: the planner can't decide requests for it yet
        self.loans_in_flight: set[tuple[str, int]] = set()
        self.unreachable: set[str] = set()  # backends that accept no connections
        self.forwarder_names = [f"f{n}" for n in range(shape.get("forwarders", 3))]
        planner: type[PlannerNode] = MultipathPlannerNode if shape.get("helpers") else PlannerNode
        forwarder: type[ForwarderNode] = MultipathForwarderNode if shape.get("helpers") else ForwarderNode
        self.planners = [planner(self, f"p{n}") for n in range(shape.get("planners", 2))]
        self.forwarders = [forwarder(self, name) for name in self.forwarder_names]
        self.members: dict[str, Member] = {m.name: m for m in (*self.planners, *self.forwarders)}
        self.reports_messages = coverage is not None or self.trace.keep or any(s.on for s in schedule.steps)

    # moments and coverage

    def sent(self, sender: Member, receiver: Member, messages: Sequence[AnyMessage]) -> None:
        """Reports sent messages."""
        self.log_messages("sent", sender, receiver, messages)

    def got(self, sender: Member, receiver: Member, messages: Sequence[AnyMessage]) -> None:
        """Reports received messages before they are processed, and counts coverage."""
        self.log_messages("got", sender, receiver, messages)
        if self.coverage is not None and messages:
            state = self.state_of(receiver, sender)
            for message in messages:
                self.coverage.record(type(message).__name__, state)

    def log_messages(
        self, phase: str, sender: Member, receiver: Member, messages: Sequence[AnyMessage]
    ) -> None:
        """Adds messages to the trace and reports their moments to the kernel."""
        watchers = self.kernel.watchers
        for message in messages:
            moment = MOMENTS[phase, type(message)]
            if self.trace.keep:
                kind = type(message).__name__
                self.trace.add(MessageLogged(self.kernel.now, phase, kind, sender.name, receiver.name))
            if moment in watchers:
                self.kernel.moment(
                    moment, sender=sender.name, receiver=receiver.name, backend=backend_of(message)
                )

    def state_of(self, node: Member, peer: Member) -> str:
        """Names the state of a node towards a peer, for the coverage of pairs."""
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
        link = node.core.links[peer.name]
        if not link.up or link.silent:
            return "down" if not link.up else "silent"
        if any(part.recalled for part in node.core.parts):
            return "moving"
        if link.leaving:
            return "left"
        return "obeys" if any(part.holder is link for part in node.core.parts) else "beside"

    # state that the rules check

    def obeyed(self) -> set[tuple[str, int]]:
        """Returns (planner life, part) for which some forwarder would execute grants."""
        found: set[tuple[str, int]] = set()
        for node in self.forwarders:
            if node.alive:
                for part in node.core.parts:
                    holder = part.holder
                    if holder is not None and (node.name, part.number) not in self.loans_in_flight:
                        found.add((holder.incarnation, part.number))
        return found

    def usable(self, planner: PlannerNode, part: int) -> list[str]:
        """Returns the forwarders whose share of a part a planner would spend now."""
        return usable_at(planner.core, part, planner.clock())

    def record_shares(self) -> None:
        """Records the users of shares, for parts whose shares have more than one user altogether."""
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
                continue  # a single user can't use a share twice
            users: dict[str, list[str]] = {}
            for planner, life in leading:
                for name in self.usable(planner, number):
                    users.setdefault(name, []).append(life)
            for node in free:
                users.setdefault(node.name, []).append(f"{node.name}.{node.life}")
            if users:
                shares = tuple((lender, tuple(names)) for lender, names in users.items())
                self.trace.add(SharesHeld(self.kernel.now, number, shares))

    def check_shares(self) -> None:
        """Records the users of shares at regular intervals."""
        self.record_shares()
        self.kernel.at(self.kernel.now + SHARE_CHECK_INTERVAL_S, self.check_shares)

    def record_credits(self, customer: str) -> None:
        """Records what each process believes to be left of a customer's ceiling."""
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
            throttle, reserve = node.core.local.throttles.get(customer), node.core.reserves.get(customer)
            left = reserve.units if reserve is not None else 0.0
            # local decisions get a new allotment each time, so a lent share counts only while requests wait
            if throttle is not None and (node.core.parts[number].holder is None or throttle.queue):
                left = max(left, throttle.filled((throttle.cap, throttle.stamp), node.clock()))
            beliefs.append((f"{node.name}.{node.life}", left))
        self.trace.add(CreditsBelieved(self.kernel.now, customer, tuple(beliefs)))

    # steps

    def schedule_step(self, index: int, step: Step) -> None:
        """Schedules a step at its time, or at the moment that it is aimed at."""
        if not step.on:
            self.kernel.at(step.at, self.play, step)
            return
        remaining = [step.nth]

        def on_moment(participants: dict[str, str]) -> None:
            if self.kernel.now >= step.at and remaining[0] > 0 and not self.network.calm:
                remaining[0] -= 1
                if remaining[0] == 0:
                    pinned = self.pinned[index] = pin(step, participants, self.kernel.now)
                    self.play(pinned)

        self.kernel.watch(step.on, on_moment)

    def play(self, step: Step) -> None:
        """Executes a step by the method play_<what>."""
        who, to = step.who, step.to
        if step.what != "ask" and self.network.calm:
            return
        if step.what != "ask":
            self.trace.add(Fault(self.kernel.now, step.what, f"{who} {to}" if to else who, step.seconds))
        handler = getattr(self, f"play_{step.what}", None)
        if handler is None:
            raise ValueError(f"unknown kind of step: {step.what!r}")
        handler(step, who, to)

    def play_ask(self, step: Step, who: str, to: str) -> None:
        """A client sends a request to a forwarder."""
        node = self.members[who]
        assert isinstance(node, ForwarderNode)
        if not node.is_running or node.retiring:
            return
        self.counts["tries"] += 1
        args = step.args
        node.receive_request(
            self.counts["tries"],
            args["klass"],
            args["plan"],
            args["customer"],
            args["units"],
            args["budget"],
            args["fates"],
        )

    def play_pause(self, step: Step, who: str, to: str) -> None:
        """A process is paused while its clock runs on."""
        if who in self.members and self.members[who].alive:
            self.members[who].reads_first = bool(step.args.get("reads_first"))
            self.members[who].pause(step.seconds)

    def play_stand(self, step: Step, who: str, to: str) -> None:
        """A machine is suspended: its clock stops as well."""
        if who in self.members and self.members[who].alive:
            self.members[who].pause(step.seconds)
            self.members[who].clocks.suspend(step.seconds)

    def play_hold(self, step: Step, who: str, to: str) -> None:
        """Messages in one direction are delayed."""
        self.network.hold_for(who, to, step.seconds)

    def play_cut(self, step: Step, who: str, to: str) -> None:
        """A link is cut in one direction or both."""
        self.network.cut_for(who, to, step.seconds)
        if step.args.get("both"):
            self.network.cut_for(to, who, step.seconds)

    def play_kill(self, step: Step, who: str, to: str) -> None:
        """A process is killed and started again later."""
        # now, but not from within a call of the process itself
        self.kernel.at(self.kernel.now, self.kill, who, step.seconds, bool(step.args.get("quiet")))

    def kill(self, who: str, seconds: float, quiet: bool) -> None:
        """Kills a process and starts it again after so many seconds."""
        node = self.members.get(who)
        if node is not None and node.alive:
            node.kill(quiet)
            self.kernel.at(self.kernel.now + seconds, node.start)

    def play_break(self, step: Step, who: str, to: str) -> None:
        """A connection is closed; without `reset` only the end at `who` notices."""
        self.kernel.at(self.kernel.now, self.end_link, who, to, bool(step.args.get("reset", True)))

    def end_link(self, who: str, to: str, reset: bool) -> None:
        """Closes the connections between two processes at the first one's end."""
        node, peer = self.members.get(who), self.members.get(to)
        if node is None or peer is None or not node.alive:
            return
        streams: Iterable[Stream] = getattr(node, "wires", ())
        if isinstance(node, MultipathNode):
            streams = node.paths
        elif isinstance(node, ForwarderNode):
            streams = node.wires.values()
        for stream in [s for s in streams if s.peers[node] is peer]:
            stream.close(node, reset)

    def play_leave(self, step: Step, who: str, to: str) -> None:
        """A planner stops in an orderly way and is started again later."""
        self.kernel.at(self.kernel.now, self.leave, who, step.seconds)

    def leave(self, who: str, seconds: float) -> None:
        """Begins the orderly stop of a planner."""
        node = self.members.get(who)
        if not isinstance(node, PlannerNode) or not node.is_running or node.leaving:
            return
        node.leave()
        node.after(0.05, self.check_left, node, self.kernel.now + 2.0, seconds)

    def check_left(self, node: PlannerNode, end: float, seconds: float) -> None:
        """Ends a stopping planner once it holds nothing, or at `end`."""
        if node.core.holds_nothing() or self.kernel.now >= end:
            self.kill(node.name, seconds, False)
        else:
            node.after(0.05, self.check_left, node, end, seconds)

    def play_retire(self, step: Step, who: str, to: str) -> None:
        """A forwarder stops in an orderly way and is started again later."""
        self.kernel.at(self.kernel.now, self.retire, who, step.seconds)

    def retire(self, who: str, seconds: float) -> None:
        """Begins the orderly stop of a forwarder, which accepts no requests any more."""
        node = self.members.get(who)
        if not isinstance(node, ForwarderNode) or not node.is_running or node.retiring:
            return
        node.retiring = True
        self.check_retired(node, seconds)

    def check_retired(self, node: ForwarderNode, seconds: float) -> None:
        """Ends a stopping forwarder once it has no open requests."""
        if node.pending:
            node.after(0.02, self.check_retired, node, seconds)
        else:
            node.stop()
            node.after(0.01, self.kill, node.name, seconds, False)

    def play_drain(self, step: Step, who: str, to: str) -> None:
        """A backend drains. `told`: seconds until each process, by name or role, is notified."""
        backend = self.backends.get(who)
        serving = [b for b in self.backends.values() if b.status is Status.SERVING]
        if backend is None or backend.status is not Status.SERVING or len(serving) <= 2:
            return
        self.change_status(who, Status.DRAINING, step)
        if step.seconds:
            self.kernel.at(self.kernel.now + step.seconds, self.end_drain, who, step)

    def end_drain(self, who: str, step: Step) -> None:
        """Makes a draining backend serve again."""
        if self.backends[who].status is Status.DRAINING:
            self.change_status(who, Status.SERVING, step)

    def play_restart(self, step: Step, who: str, to: str) -> None:
        """A backend stops immediately and starts again cold."""
        backend = self.backends.get(who)
        if (
            backend is None
            or backend.status is not Status.SERVING
            or self.unreachable
            or len(self.backends) < 3
        ):
            return
        self.unreachable.add(who)
        self.change_status(who, Status.GONE, step)
        self.kernel.at(self.kernel.now + step.seconds, self.start_cold, who, step)

    def start_cold(self, who: str, step: Step) -> None:
        """Starts a stopped backend, which is cold then."""
        self.unreachable.discard(who)
        now = self.kernel.now
        self.backends[who] = replace(self.backends[who], started=now)
        self.trace.add(BackendStarted(now, who, self.shape.get("capacity", 20.0)))
        self.change_status(who, Status.SERVING, step)

    def change_status(self, who: str, status: Status, step: Step) -> None:
        """Changes a backend's status and notifies each process after its delay."""
        changed = self.backends[who] = replace(self.backends[who], status=status)
        delays: dict[str, float] = step.args.get("told", {})

        def notify(node: Member) -> None:
            if self.backends[who] is changed:
                node.receive_change(who)

        for node in self.members.values():
            delay = delays.get(node.name, delays.get("", 0.1))
            if node.alive:
                node.after(delay, notify, node)

    # the run

    def run(self) -> dict[str, float]:
        """Plays the schedule, then waits for recovery; Broken if a rule is violated."""
        try:
            for member in self.members.values():
                member.start()
            for index, step in enumerate(self.schedule.steps):
                self.schedule_step(index, step)
            self.kernel.at(0.0, self.check_shares)
            self.kernel.run(self.seconds)
            self.network.heal()
            end, check_at = self.seconds + RECOVERY_TIMEOUT_S, self.seconds + RECOVERY_CHECK_DELAY_S
            reason = "recovery was not checked"
            while reason and check_at <= end:
                self.kernel.run(check_at)
                reason = self.unsettled()
                check_at += 0.1
            if reason:
                raise Broken("all heals", self.kernel.now, reason)
            self.rules.finish(self.kernel.now)
        except (Broken, ValueError):
            raise
        except Exception as error:  # a crash of a core is a violation as well
            raise Broken("no crash", self.kernel.now, f"{type(error).__name__}: {error}") from error
        lowest = self.rules.ceilings.lowest
        return {**self.counts, "lowest": round(lowest, 3), "events": self.kernel.events}

    def unsettled(self) -> str:
        """Describes something that has not recovered yet; empty if everything has."""
        for node in self.forwarders:
            if not node.alive or node.retiring:
                return f"{node.name} is down"
            if node.core.tasks or node.pending or node.core.asks:
                return f"{node.name} still has state of requests: {len(node.core.tasks)}"
            for part in node.core.parts:
                if part.holder is None or part.holder.name != part.order[0] or part.recalled:
                    return f"part {part.number} is not back at its first choice at {node.name}"
        for planner in self.planners:
            if not planner.alive or planner.leaving:
                return f"{planner.name} is down"
            if planner.core.jobs or planner.core.gateway.jobs:
                return f"{planner.name} still has state of {len(planner.core.jobs)} requests"
            if any(server.flight for server in planner.core.gateway.servers.values()):
                return f"{planner.name} still counts finished attempts"
            for held in planner.core.parts:
                if held.lenders and not held.whole:
                    return f"part {held.number} is not complete at {planner.name}"
        return ""


def usable_at(core: Planner, part: int, now: float) -> list[str]:
    """Returns the forwarders whose share of a part a planner's core would spend now."""
    before, core.now = core.now, max(core.now, now)  # as if it processed a message now
    usable = [lender.session.name for lender in core.usable(core.parts[part])]
    core.now = before
    return usable


def pin(step: Step, participants: dict[str, str], at: float) -> Step:
    """Converts an aimed step to one at a fixed time, with the names of the participants of its moment."""

    def resolve(name: str) -> str:
        return participants.get(name[1:], "") if name.startswith("@") else name

    args = dict(step.args)
    if "told" in args:  # a participant's delay by its role takes precedence over the one by its name
        delays: dict[str, float] = args["told"]
        args["told"] = {n: delay for n, delay in delays.items() if not n.startswith("@")}
        args["told"] |= {resolve(n): delay for n, delay in delays.items() if n.startswith("@")}
    return msgspec.structs.replace(
        step, at=at, on="", nth=1, who=resolve(step.who), to=resolve(step.to), args=args
    )


def plan_of(customer: str) -> str:
    """Returns a customer's plan: its name is the plan's name and a number."""
    return customer.rstrip("0123456789")


def terms_for(shape: dict[str, Any]) -> Terms:
    """Returns the default terms with the values of a shape, validated like an operator's."""
    defaults = Terms()
    terms = msgspec.structs.replace(
        defaults,
        bequest=shape.get("bequest", defaults.bequest),
        beat_every=shape.get("beat_every", defaults.beat_every),
    )
    check_terms(terms)
    return terms


def settings_for(shape: dict[str, Any]) -> Settings:
    """Returns the lab's settings with a ceiling below the quota and the demand, so that only it limits."""
    settings = lab_settings(shape.get("forwarders", 3))
    rate, depth = shape.get("ceiling", (8.0, 24.0))
    burst = shape.get("burst", 120.0)  # a burst well below the depth leaves part of it for reserves
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
    """Returns the parameters of the rules for some settings."""
    return RuleTerms(
        classes={
            c.name: ClassTerms(RULE_WORDS[c.repeats], c.memory * (1 + MAX_CLOCK_DRIFT))
            for c in settings.classes
        },
        # less than the rule's own slack of a tenth or one of the largest requests: only dials and drift
        ceilings={
            p.name: Ceiling(p.ceiling_rate, p.ceiling_depth, MAX_CHARGE_TO_WRITE_S * p.ceiling_rate + 1.0)
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


def play(schedule: Schedule, **options: Any) -> dict[str, float]:
    """Plays a schedule and returns its figures; Broken if it violates a rule."""
    return World(schedule, **options).run()
