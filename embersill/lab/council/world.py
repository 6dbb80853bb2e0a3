"""Plays a schedule on members of the council, and judges what they do. No I/O.

The steps' words: cut (`who` to `to` for `seconds`, one direction), hold (what is sent there waits), part
(`groups`: they don't hear each other), kill (`who`, back after `seconds`; `disk`: keep, power, empty, old),
backup (`who`: what `old` puts back), pause, clone (`who`: a second process with a copy of the disk), forge
(`who` sends an act of an office under `number` that is not its own), cut_off (`who` hears nobody and is
heard by nobody), deafen (what is said to `who` waits), watch_take (whoever takes the work next hears so
late, and is cut off then), billing (`how` silent, late, busy for `seconds`), full (`who`: its disk takes
nothing more for `seconds`, or one file `only`), leave (`who`, back after `seconds`). `@work` is whoever
holds that office.
"""

from __future__ import annotations

import errno
import json
import math
from collections.abc import Callable
from typing import Any

import msgspec

from embersill.council.core import CouncilCore
from embersill.council.export import BillingAnswer, BillingCall, meta_from
from embersill.council.group_commit import Batch, GroupCommit
from embersill.council.journal import Damaged, Journal
from embersill.council.member import How, Result
from embersill.council.messages import Act, Answer, Entry, OfficeReply, Request, Verdicts
from embersill.council.offices import KEY_PREFIX, NotHeld, OfficeLease, read_office
from embersill.council.probes import ProbeSettings
from embersill.council.register import Register
from embersill.council.terms import CouncilTerms, majority
from embersill.council.usage import Tally, UsageJournal
from embersill.lab.council.model import Books, Effect, Receiver, WorldFiles
from embersill.rig.billing import StandInBilling
from embersill.world.disk import Disk
from embersill.world.histories import Op, is_linearizable
from embersill.world.kernel import Kernel, Node
from embersill.world.network import Datagrams, LinkConditions, Network
from embersill.world.oracles import Broken
from embersill.world.records import Fault
from embersill.world.schedules import Schedule, Step
from embersill.world.swarm import Coverage
from embersill.world.trace import Trace

TICK = 0.02
ACT_EVERY = 0.06
USE_EVERY = 0.08
CLIENT_EVERY = 0.25
BILLING_WITHIN = 0.4
WORK = "work"
OFFICES = ("export", "probes", WORK)
KEYS = ("k0", "k1")
EMPTY_AT_MOST = 1.0  # seconds that an office may be without an owner while nothing is wrong
SETTLES = 4.0  # seconds after all is healed in which every office is held and all use is booked


class MemberNode(Node):
    """A planner's seat, its disk and its timers. A clone has another's name as a member, and its own here."""

    def __init__(self, world: World, name: str, member: str) -> None:
        super().__init__(world.kernel, name)
        self.world, self.member_name = world, member
        self.disk = Disk(world.kernel.stream(f"disk {name}"))
        self.files = WorldFiles(self.disk, world.token)
        self.backup: dict[str, bytes] | None = None
        self.core: CouncilCore
        self.group_commit: GroupCommit
        self.journal: Journal
        self.uses: UsageJournal
        self.tally: Tally
        self.chance = world.kernel.stream(f"node {name}")
        self.calls: dict[int, tuple[int, BillingCall]] = {}

    def start(self) -> None:
        world = self.world
        self.begin_life(world.drifts.get(self.name, 0.0), self.chance.uniform(0.0, 1000.0))
        me, now = self.member_name, self.clock()
        register = Register(me, world.names)
        self.journal = Journal(self.files, "council", "council", me)
        try:
            register.load(self.journal.open())
        except Damaged:
            register.load(None)
        self.uses = UsageJournal(Journal(self.files, "use", "use", me), Tally(10.0))
        self.uses.open(f"{me}.{self.chance.getrandbits(32):08x}")
        self.tally = self.uses.tally
        register.begin_life(f"{self.chance.getrandbits(64):016x}")
        self.core = CouncilCore(
            register, world.terms, self.chance, now, tally=self.tally, probes=ProbeSettings(), others=(WORK,)
        )
        for post in self.core.offices.values():
            post.on_change = self.changed
        register.on_accepted = self.entry_seen
        self.group_commit = GroupCommit(self.core)
        self.flush(at_once=True)
        self.after(TICK, self.tick)
        self.after(ACT_EVERY, self.act)
        self.after(USE_EVERY, self.use)
        self.after(CLIENT_EVERY * self.chance.random(), self.client)

    def changed(self, post: OfficeLease) -> None:
        self.world.changed(self, post)

    def entry_seen(self, key: str, entry: Entry) -> None:
        self.core.entry_accepted(key, entry)
        self.world.entry_seen(self, key, entry)

    # the disk

    def flush(self, at_once: bool = False) -> None:
        grown = self.journal.size > 4 * max(
            self.journal.compacted_size, 1 << 13
        )  # sooner than a real one, to be met
        batch = self.group_commit.next_batch(grown)
        if batch is None:
            return
        if at_once:
            self.save(batch, self.life)
        else:
            slow = 0.05 if self.chance.random() < self.world.slow_disk else 0.002
            self.after(slow * self.chance.random(), self.save, batch, self.life)

    def save(self, batch: Batch, life: int) -> None:
        try:
            batch.save(self.journal)
        except OSError as error:
            return self.group_commit.disk_failed(error.strerror or "it failed")
        self.group_commit.batch_written(batch)
        return self.flush()

    def save_use(self) -> None:
        stream, books = self.tally.name, self.world.books
        if self.uses.write_notes():
            books.written(stream)
            closes = bool(self.tally.records)
            if self.uses.sync_batches() and closes:
                books.synced(stream)

    # what it does

    def tick(self) -> None:
        core = self.core
        now = self.clock()
        core.tick(now)
        self.world.look()
        assert core.prober is not None
        for name in core.probes_due(now):
            self.after(
                0.05 * self.chance.random(), core.prober.on_probe_result, name, name not in self.world.bad
            )
        core.advice.changes({f"b{n}": True for n in range(12)}, now)
        self.export()
        self.save_use()
        self.send()
        self.flush()
        self.after(TICK, self.tick)

    def send(self) -> None:
        if not self.group_commit.may_send():
            return
        for to, number, request in self.core.outbox:
            if to == self.member_name:
                self.group_commit.handle(request, self.local(number), self.clock())
            else:
                self.world.datagrams.send(
                    self, self.world.nodes[to], self.world.asked, self, self.life, number, request, to
                )
        self.flush()

    def local(self, number: int) -> Callable[[Answer], None]:
        def say(answer: Answer) -> None:
            self.answer_came(number, answer)

        return say

    def question_came(self, sender: MemberNode, life: int, number: int, request: Request) -> None:
        def say(answer: Answer) -> None:
            self.world.answered(self, request, answer)
            self.world.datagrams.send(self, sender, self.world.replied, sender, life, number, answer)

        self.group_commit.handle(request, say, self.clock())
        self.flush()

    def answer_came(self, number: int, answer: Answer) -> None:
        self.core.on_answer(number, answer, self.clock())
        self.world.look()
        self.send()

    def act(self) -> None:
        """The work of an office: an effect on somebody outside, which may come late."""
        self.after(ACT_EVERY, self.act)
        post = self.core.offices[WORK]
        try:
            permit = post.act(self.clock())
        except NotHeld:
            return
        effect = Effect(permit.act.number, permit.act.sequence, self.name)
        for receiver in self.world.receivers:
            delay = self.chance.uniform(0.0, 0.01)
            if self.chance.random() < self.world.late_effects:
                delay += self.chance.uniform(0.0, 3.0)
            self.kernel.at(self.kernel.now + delay, self.world.effect, receiver, effect)

    def use(self) -> None:
        self.after(USE_EVERY * (0.5 + self.chance.random()), self.use)
        if self.world.calm and self.kernel.now > self.world.seconds + 1.0:
            return
        customer = f"c{self.chance.randrange(4)}"
        units = float(self.chance.randint(1, 5))
        self.tally.add(customer, units, self.clock())
        self.world.books.used(self.tally.name, units)
        backend = f"b{self.chance.randrange(12)}"
        self.core.suspicions.note_outcome(backend, backend not in self.world.bad, self.clock())

    def client(self) -> None:
        self.after(CLIENT_EVERY * (0.5 + self.chance.random()), self.client)
        if self.kernel.now < self.world.seconds:
            self.world.client(self)

    def export(self) -> None:
        exporter = self.core.exporter
        assert exporter is not None
        call, exporter.call = exporter.call, None
        if call is None:
            return
        exporter.in_flight = True
        life = self.life
        ended = [False]

        def come(answer: BillingAnswer) -> None:
            if not ended[0] and self.alive and self.life == life:
                ended[0] = True
                exporter.on_answer(call, answer, self.clock())
                self.send()

        self.after(BILLING_WITHIN, come, BillingAnswer(0))
        self.world.call_billing(self, call, come)

    def leave(self) -> None:
        self.core.leave(self.clock())
        self.send()


class World:
    """One run. The shape's words: members, seconds, weather, drift, late_effects, bad (backends), terms."""

    def __init__(
        self, schedule: Schedule, *, trace: Trace | None = None, coverage: Coverage | None = None
    ) -> None:
        self.schedule, self.shape = schedule, schedule.shape
        shape = self.shape
        self.trace = trace if trace is not None else Trace(keep=False)
        self.coverage = coverage
        self.kernel = Kernel(schedule.seed, self.trace)
        self.network = Network(self.kernel, LinkConditions(**shape.get("weather", {})))
        self.datagrams = Datagrams(self.network)
        self.terms = CouncilTerms(**{"settle": 0.3, "settle_back": 2.0, **shape.get("terms", {})})
        self.names = [f"m{n}" for n in range(shape.get("members", 3))]
        self.drifts: dict[str, float] = dict(zip(self.names, shape.get("drifts", ()), strict=False))
        self.seconds: float = shape.get("seconds", 6.0)
        self.late_effects: float = shape.get("late_effects", 0.05)
        self.slow_disk: float = shape.get("slow_disk", 0.02)
        self.watching = -1.0  # until when whoever takes the work is cut off
        self.bad = frozenset(shape.get("bad", ()))
        self.books, self.billing = Books(), StandInBilling()
        self.billing.rng = self.kernel.stream("billing")
        self.billing_until: dict[str, float] = {}
        self.receivers = [Receiver(), Receiver()]
        self.nodes = {name: MemberNode(self, name, name) for name in self.names}
        self.clones: list[MemberNode] = []
        self.calm = False
        self.tokens = 0
        self.takes: dict[tuple[str, int], str] = {}  # who took an office under a number
        self.taken: dict[tuple[str, int, str], tuple[int, int]] = {}  # acts that members took
        self.histories: dict[str, list[Op]] = {key: [] for key in KEYS}
        self.open: dict[int, tuple[str, list[tuple[str | None, str]], float, MemberNode, int]] = {}
        self.clients = 0
        self.held_at: dict[str, float] = {}  # when somebody held an office last
        self.counts = {"tries": 0, "takes": 0, "late": 0, "learned": 0, "refused": 0, "appends": 0, "acts": 0}

    def token(self) -> int:
        self.tokens += 1
        return self.tokens

    def all_nodes(self) -> list[MemberNode]:
        return [*self.nodes.values(), *self.clones]

    # messages

    def asked(self, sender: MemberNode, life: int, number: int, request: Request, to: str) -> None:
        node = self.nodes[to]
        if self.coverage is not None:
            register = node.core.register
            state = "retired" if register.retired else "votes" if register.votes else "waits"
            self.coverage.record(type(request).__name__, state)
        node.question_came(sender, life, number, request)

    def replied(self, node: MemberNode, life: int, number: int, answer: Answer) -> None:
        if node.life == life:
            node.answer_came(number, answer)

    # what is judged

    def changed(self, node: MemberNode, post: OfficeLease) -> None:
        if post.lease is None:
            return
        self.counts["takes"] += 1
        key = post.office, post.lease.number
        mine = f"{node.name}/{node.life}"
        if self.takes.setdefault(key, mine) != mine:
            raise Broken(
                "number grows",
                self.kernel.now,
                f"{post.office} no. {post.lease.number} is taken by " f"{mine} and was by {self.takes[key]}",
            )
        before = max(
            (
                number
                for office, number in self.takes
                if office == post.office and number != post.lease.number
            ),
            default=0,
        )
        if post.lease.number < before:
            text = f"{post.office} no. {post.lease.number} after {before}"
            raise Broken("number grows", self.kernel.now, text)
        self.look()

    def entry_seen(self, node: MemberNode, key: str, entry: Entry) -> None:
        """A member has accepted an entry: whoever is watched for as it takes the work hears of it late."""
        held = read_office(entry)
        if (
            self.kernel.now < self.watching
            and key == KEY_PREFIX + WORK
            and held.holder not in ("", node.member_name)
            and not held.renewals
        ):
            self.watching = -1.0
            for name in self.names:
                self.network.hold_for(name, held.holder, 0.12)
            self.kernel.at(self.kernel.now + 0.125, self.cut_off, held.holder, 2.0)

    def look(self) -> None:
        """At every moment at most one process takes itself to hold an office."""
        for office in OFFICES:
            holders = [
                node.name
                for node in self.all_nodes()
                if node.alive and node.life and node.core.offices[office].held(node.clock())
            ]
            if holders:
                self.held_at[office] = self.kernel.now
            if len(holders) > 1:
                raise Broken("one owner", self.kernel.now, f"{office} is held by {' and '.join(holders)}")

    def answered(self, node: MemberNode, request: Request, answer: Answer) -> None:
        if not isinstance(request, Verdicts) or not isinstance(answer, OfficeReply):
            return
        if answer.reason:
            self.counts["refused"] += 1
            return
        act = request.act
        self.counts["acts"] += 1
        owner = self.takes.get((act.office, act.number), "")
        if not owner:  # it may have written itself in, and not have heard that it did: the register says so
            seen = node.core.offices[act.office].observed
            owner = seen.record.holder if seen is not None and seen.record.number == act.number else ""
        if owner.partition("/")[0].partition("+")[0] != request.origin.name:
            raise Broken(
                "fence",
                self.kernel.now,
                f"{node.name} takes no. {act.number} of {act.office} from "
                f"{request.origin.name}, and it is {owner or 'nobody'}'s",
            )
        key = act.office, node.life, node.name
        if (act.number, act.sequence) <= self.taken.get(key, (0, 0)):
            raise Broken("fence", self.kernel.now, f"{node.name} takes {act} after {self.taken[key]}")
        self.taken[key] = act.number, act.sequence

    def effect(self, receiver: Receiver, effect: Effect) -> None:
        receiver.came(effect, self.kernel.now)

    # clients of the register

    def client(self, node: MemberNode) -> None:
        self.clients += 1
        number, key, began = self.clients, node.chance.choice(KEYS), self.kernel.now
        self.counts["tries"] += 1
        core, draw = node.core, node.chance.random()
        writes, picky = draw < 0.6, draw < 0.2
        values: list[tuple[str | None, str]] = []

        def text(entry: Entry | None) -> str | None:
            return None if entry is None else entry.data.decode()

        def change(entry: Entry | None) -> bytes | None:
            found = text(entry)
            if picky and (entry is not None and entry.version % 2):
                return None
            values.append((found, f"{number}.{len(values)}"))
            return values[-1][1].encode()

        def done(result: Result, now: float) -> None:
            self.open.pop(number, None)
            ended, history = self.kernel.now, self.histories[key]
            found = text(result.entry)
            if result.how is How.UNKNOWN:
                self.unsure(history, began, values)
            elif result.how is How.REFUSED or (result.how is How.DONE and not writes):
                history.append(Op(began, ended, found))
            elif result.how is How.DONE:
                base = {value: before for before, value in values}
                if found not in base:
                    raise Broken("register", ended, f"a write ended with {found}, which it never wrote")
                history.append(Op(began, ended, base[found], found))

        self.open[number] = (key, values, began, node, node.life)
        if writes:
            core.member.write(key, change, done, node.clock())
        else:
            core.member.read(key, done, node.clock())
        node.send()

    def unsure(self, history: list[Op], began: float, values: list[tuple[str | None, str]]) -> None:
        for found, value in values:
            history.append(Op(began, math.inf, found, value, sure=False))

    def judge_histories(self) -> None:
        for key, values, began, _, _ in self.open.values():
            self.unsure(self.histories[key], began, values)
        for key, history in self.histories.items():
            if not is_linearizable(history):
                text = f"{key}: no order explains what was read and written"
                raise Broken("register", self.kernel.now, text)

    # billing

    def call_billing(
        self, node: MemberNode, call: BillingCall, come: Callable[[BillingAnswer], None]
    ) -> None:
        headers = {
            "office-number": str(call.permit.act.number),
            "office-holder": f"{node.name}/{node.life}",
            "if-position": str(call.position),
        }
        body = b"" if call.body is None else json.dumps(call.body).encode()
        way = self.kernel.now + node.chance.uniform(0.001, 0.01)
        if node.chance.random() < self.late_effects:
            way += node.chance.uniform(0.0, 3.0)
        method = "PUT" if call.body is None else "POST"
        self.kernel.at(way, self.billing_came, node, method, headers, body, come)

    def billing_came(
        self,
        node: MemberNode,
        method: str,
        headers: dict[str, str],
        body: bytes,
        come: Callable[[BillingAnswer], None],
    ) -> None:
        now = self.kernel.now
        if now < self.billing_until.get("busy", 0.0):
            return None
        path = "/usage/owner" if method == "PUT" else "/usage"
        status, told = self.billing.handle(method, path, headers, body, now)
        if self.billing.counts["two_owners"]:
            raise Broken("one owner", now, f"two write to billing under {headers['office-number']}")
        if now < self.billing_until.get("silent", 0.0):
            return None
        delay = node.chance.uniform(0.001, 0.01)
        if now < self.billing_until.get("late", 0.0):
            delay += node.chance.uniform(0.0, 2.0)
        answer = BillingAnswer(status, told.get("position", -1), meta_from(told))
        copies = 2 if node.chance.random() < 0.1 else 1
        for _ in range(copies):
            self.kernel.at(now + delay, come, answer)
        return None

    # faults

    def do(self, step: Step) -> None:
        now = self.kernel.now
        if step.who.startswith("@"):  # whoever holds that office now
            holder = next(
                (
                    node.name
                    for node in self.nodes.values()
                    if node.alive and node.core.offices[step.who[1:]].held(node.clock())
                ),
                "",
            )
            if not holder:
                return
            step = msgspec.structs.replace(step, who=holder)
        self.trace.add(Fault(now, step.what, step.who or str(step.args), step.seconds))
        getattr(self, f"do_{step.what}")(step)

    def do_cut(self, step: Step) -> None:
        self.network.cut_for(step.who, step.to, step.seconds)

    def do_hold(self, step: Step) -> None:
        self.network.hold_for(step.who, step.to, step.seconds)

    def cut_off(self, who: str, seconds: float) -> None:
        for name in self.names:
            if name != who:
                self.network.cut_for(who, name, seconds)
                self.network.cut_for(name, who, seconds)

    def do_cut_off(self, step: Step) -> None:
        self.cut_off(step.who, step.seconds)

    def do_deafen(self, step: Step) -> None:
        for name in self.names:
            if name != step.who:
                self.network.hold_for(name, step.who, step.seconds)

    def do_watch_take(self, step: Step) -> None:
        self.watching = self.kernel.now + step.seconds

    def do_part(self, step: Step) -> None:
        groups: list[list[str]] = step.args["groups"]
        for group in groups:
            for other in groups:
                if group is not other:
                    for one in group:
                        for two in other:
                            self.network.cut_for(one, two, step.seconds)

    def do_pause(self, step: Step) -> None:
        self.nodes[step.who].pause(step.seconds)

    def do_backup(self, step: Step) -> None:
        node = self.nodes[step.who]
        node.backup = node.files.copied()

    def do_kill(self, step: Step) -> None:
        node, disk = self.nodes[step.who], step.args.get("disk", "keep")
        if not node.alive or disk in ("empty", "old") and not self.may_lose(node):
            return
        self.die(node, disk == "power")
        if disk == "power":
            node.disk.crash()
        elif disk == "empty":
            node.files.put_back({})
        elif disk == "old" and node.backup is not None:
            node.files.put_back(node.backup)
        self.kernel.at(self.kernel.now + step.seconds, self.revive, node)

    def may_lose(self, node: MemberNode) -> bool:
        """Whether a majority would still have its memory: with fewer the council stands still, as it says."""
        have = sum(
            other is not node and other.life > 0 and other.core.register.votes
            for other in self.nodes.values()
        )
        return have >= majority(len(self.names))

    def die(self, node: MemberNode, power: bool = False) -> None:
        node.alive = False
        self.books.killed(node.tally.name, power)
        for number, (key, values, began, whose, life) in list(self.open.items()):
            if whose is node and life == node.life:
                del self.open[number]
                self.unsure(self.histories[key], began, values)

    def revive(self, node: MemberNode) -> None:
        if node.alive:
            return
        try:
            node.start()
        except OSError:  # it does not start on a full disk: whoever looks after it tries again
            node.alive = False
            self.kernel.at(self.kernel.now + 0.2, self.revive, node)

    def do_leave(self, step: Step) -> None:
        node = self.nodes[step.who]
        if node.alive and node.is_running:
            node.leave()
            self.kernel.at(self.kernel.now + 0.3, self.left, node, node.life, step.seconds)

    def left(self, node: MemberNode, life: int, seconds: float) -> None:
        if node.alive and node.life == life:
            node.save_use()
            self.die(node)
            self.kernel.at(self.kernel.now + seconds, self.revive, node)

    def do_clone(self, step: Step) -> None:
        node = self.nodes[step.who]
        if not self.may_lose(node):
            return
        clone = MemberNode(self, f"{step.who}+{len(self.clones)}", step.who)
        clone.files.put_back(node.files.copied())
        self.clones.append(clone)
        clone.start()
        self.kernel.at(self.kernel.now + step.seconds, self.die, clone)

    def do_forge(self, step: Step) -> None:
        node = self.nodes[step.who]
        if not node.alive:
            return
        post = node.core.offices["probes"]
        number = step.args["number"] or post.known_number()  # nought: the one that goes
        if post.busy or post.lease is not None and number == post.lease.number:
            return  # it may be about to hold that office, or does
        act = Act("probes", number, 1 << 30)
        for to in self.names:
            if to != step.who:
                request = Verdicts(node.core.register.origin, act, [("b0", False, 0.0)])
                self.datagrams.send(node, self.nodes[to], self.asked, node, node.life, 0, request, to)

    def do_billing(self, step: Step) -> None:
        self.billing_until[step.args["how"]] = self.kernel.now + step.seconds

    def do_full(self, step: Step) -> None:
        node = self.nodes[step.who]
        if "only" in step.args:
            node.files.ill = step.args["only"]
        else:
            node.disk.error = OSError(errno.ENOSPC, "no space left on the disk")
        self.kernel.at(self.kernel.now + step.seconds, self.mended, node)

    def mended(self, node: MemberNode) -> None:
        node.disk.error, node.files.ill = None, ""
        if node.alive and node.group_commit.disk_error:  # somebody has made room, and starts it again
            self.die(node)
            self.revive(node)

    # the run

    def run(self) -> dict[str, float]:
        try:
            self.play()
        except Broken:
            raise
        except Exception as error:  # the code under test falls over: a breach like any other
            text = f"{type(error).__name__}: {error}"
            raise Broken("no crash", self.kernel.now, text) from error
        self.judge_end()
        return self.figures()

    def play(self) -> None:
        for node in self.nodes.values():
            node.start()
        for step in self.schedule.steps:
            self.kernel.at(step.at, self.do, step)
        self.kernel.run(self.seconds)
        self.network.heal()
        self.network.conditions, self.slow_disk = LinkConditions(), 0.02
        self.billing_until.clear()
        self.calm, self.late_effects = True, 0.0
        for node in self.clones:
            if node.alive:
                self.die(node)
        for node in self.nodes.values():
            if node.alive and (node.core.register.retired or node.core.offices[WORK].leaving):
                self.die(node)  # whoever looks after it starts it again, now that the other is gone
            self.revive(node)
        self.kernel.run(self.seconds + SETTLES)

    def judge_end(self) -> None:
        now = self.kernel.now
        self.judge_histories()
        if self.shape.get("hopeless"):
            return
        votes = [node for node in self.nodes.values() if node.core.register.votes]
        if len(votes) < majority(len(self.names)):
            raise Broken(
                "all heals",
                now,
                f"only {len(votes)} of {len(self.names)} members vote: "
                + "; ".join(node.core.member.reason for node in self.nodes.values()),
            )
        for office in OFFICES:
            if self.held_at.get(office, 0.0) < now - EMPTY_AT_MOST:
                raise Broken("all heals", now, f"nobody holds {office}")
        self.books.judge(self.billing, {node.tally.name for node in votes}, now)

    def figures(self) -> dict[str, float]:
        nodes = self.all_nodes()
        self.counts["late"] = sum(r.late for r in self.receivers) + self.billing.counts["late_refused"]
        self.counts["learned"] = sum(node.core.member.counts["learned"] for node in nodes)
        self.counts["appends"] = len(self.billing.appends)
        return {**self.counts, "events": self.kernel.events, "lowest": 0.0}


def play(schedule: Schedule, *, coverage: Coverage | None = None) -> dict[str, float]:
    """Plays a schedule; Broken if a rule is broken."""
    return World(schedule, coverage=coverage).run()


def changed(schedule: Schedule, **shape: Any) -> Schedule:
    return Schedule(schedule.seed, {**schedule.shape, **shape}, schedule.steps)
