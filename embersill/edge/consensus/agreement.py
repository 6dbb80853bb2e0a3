"""Replicated configuration: the gateways with a disk agree on the configuration and on their membership.

The register is the council's (embersill/council): CASPaxos with promises on disk, and an identity ("life")
for each run of a member. Its members are fixed; here they change by epochs. Each epoch has a register of its
own among its members. To change them, the register's value is *sealed*: an entry is written that names the
next epoch's members, after which that register accepts nothing more. The next epoch begins with the sealed
value. One register decides one seal, so there is exactly one next epoch, and whoever still queries the old
epoch finds the seal (Lamport, Malkhi and Zhou 2010, "Reconfiguring a State Machine"; a stoppable state
machine). No I/O: data that must be on disk first is requested as a `Save`.
"""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec

from embersill.council.member import How, Member, Result
from embersill.council.messages import AnyAnswer, AnyRequest, Answer, Request, Entry
from embersill.council.register import Register, Snapshot
from embersill.council.terms import CouncilTerms
from embersill.edge.configuration.document import EMPTY, State
from embersill.edge.consensus.handover import Handover
from embersill.edge.consensus.lease import Lease
from embersill.edge.consensus.persistence import Persistence
from embersill.edge.consensus.proposals import Transition, Proposal
from embersill.edge.records import Effects, Message, Roster, Seat, Stored, Value
from embersill.edge.consensus.serial import SerialQueue
from embersill.edge.verdict import Verdict, done, refused

CONFIGURATION_KEY = "configuration"
TERMS = CouncilTerms(attempt=0.3, within=0.85, settle=0.15, hello_every=0.5, back_off=0.02, most_back_off=0.2)
READS_PER_S = 3.0  # quorum reads per second by all members together
READ_INTERVAL_S = 1.0  # between a member's quorum reads, which find what others have written
MAX_WAITING_CHANGES = 64  # changes that may wait in the queue
READ_RETRY_S = 0.25  # after a quorum read that no majority answered

OnDecided = Callable[[Verdict, State | None], None]


class Agreement:
    """One gateway's part in the agreement: a member if it is on the roster, otherwise an observer of it."""

    def __init__(
        self,
        me: str,
        store: str,
        effects: Effects,
        chance: random.Random,
        now: float,
        life: str = "",
        durable: bool = True,
    ) -> None:
        """`life`: identifies this run of the process. `durable`: False if nothing can be stored, so that this
        gateway takes no seat even if the roster names it."""
        self.me, self.store, self.effects, self.chance, self.now = me, store, effects, chance, now
        self.life, self.durable = life, durable
        self.lease = Lease()
        self.changes = SerialQueue(MAX_WAITING_CHANGES)
        self.persistence: Persistence | None = None  # of the member's register; None for a non-member
        self.handover = Handover(me, effects)
        self.roster: Roster | None = None
        self.base: State = EMPTY  # the state with which the epoch began; EMPTY if not known
        self.knows_base = False
        self.member: Member | None = None
        self.on_state: Callable[[State], None] = lambda state: None
        self.on_roster: Callable[[Roster], None] = lambda roster: None
        self.read_at = now

    # startup and epochs

    def load(self, stored: Stored) -> None:
        """Resumes from the data on disk."""
        if stored.begun is None:
            return
        self.roster, self.base, self.knows_base = stored.begun.roster, stored.begun.base, True
        kept = stored.remembered
        self.take_seat(
            kept.whole if kept is not None and kept.epoch == self.roster.epoch else None, loaded=True
        )

    def begin(self, roster: Roster, base: State | None) -> None:
        """Begins a later epoch. Without its base only the roster is known; the members supply the state."""
        if (
            self.roster is not None
            and roster.epoch <= self.roster.epoch
            and (base is None or self.member is not None or self.me not in roster.members or not self.durable)
        ):
            return
        if base is None and self.me in roster.members:
            return  # the sender does not know the base: another member will send it
        self.handover.begin(self.roster, roster)
        self.roster, self.base, self.knows_base = roster, base or EMPTY, base is not None
        before, self.member = self.member, None
        if before is not None:
            before.close()
        if self.persistence is not None:
            self.persistence.replaced, self.persistence = True, None
        self.take_seat(None, loaded=False)
        if self.persistence is not None:
            self.persistence.save()
        self.on_roster(roster)

    def take_seat(self, whole: Snapshot | None, loaded: bool) -> None:
        """Takes this member's seat in the epoch, if it has one. `loaded`: the epoch came from the disk.

        A member without records has never answered in this epoch if its disk is the one that the roster
        names. With another disk it may have, so it recovers its lost promises from the other members first.
        """
        assert self.roster is not None
        seat = self.roster.members.get(self.me)
        if seat is None or not self.durable:
            return
        register = Register(self.me, self.roster.members)
        nonce = f"{self.chance.getrandbits(64):016x}"
        if whole is not None:
            register.load([])
            register.replay(whole)
            register.durable_mark = register.mark
            register.begin_life(nonce)
        elif seat.store == self.store:
            register.load([])
            register.initialize(nonce)
        else:
            register.load(None)
        self.member = Member(register, TERMS, self.chance, self.now)
        self.persistence = Persistence(
            register, self.roster, self.base, self.effects, loaded, self.handover.saved
        )
        self.member.on_recovered = self.persistence.save
        self.lease.set_read_interval(self.read_interval)
        self.read_at = self.now

    @property
    def read_interval(self) -> float:
        """Seconds between this member's quorum reads; more members read less often each."""
        members = len(self.roster.members) if self.roster is not None else 0
        return READ_INTERVAL_S * max(members / READS_PER_S, 1.0)

    @property
    def votes(self) -> bool:
        """True while this gateway is a member that may vote in its epoch."""
        return self.member is not None and self.member.register.votes

    # messages

    def heard(self, peer: str, message: Message) -> None:
        """Handles a member's request or answer; a request of an older epoch is answered with the roster."""
        roster, member = self.roster, self.member
        if roster is None:
            return
        if message["epoch"] != roster.epoch or member is None:
            if message["kind"] == "ask" and message["epoch"] < roster.epoch:
                self.effects.mail.append((peer, self.roster_message(peer)))
            return
        if message["kind"] == "ask":
            number, life = message["n"], message["life"]
            ask = msgspec.convert(message["ask"], AnyRequest)

            def reply(answer: Answer) -> None:
                told = msgspec.to_builtins(answer)
                message = {"kind": "told", "epoch": roster.epoch, "n": number, "life": life, "answer": told}
                self.effects.mail.append((peer, message))

            self.answer(ask, reply)
        else:  # an answer to this run of the process: `Node` drops those to earlier runs
            member.on_answer(message["n"], msgspec.convert(message["answer"], AnyAnswer), self.now)
            self.deliver()

    def answer(self, ask: Request, reply: Callable[[Answer], None]) -> None:
        """Has the register answer; `reply` is called once the data that the answer depends on is on disk."""
        if self.member is not None and self.persistence is not None:
            answer = self.member.register.handle(ask)
            self.persistence.after_save(lambda: reply(answer))

    def deliver(self) -> None:
        """Sends the member's requests; its own register is asked under the same durability rule."""
        member, roster, persistence = self.member, self.roster, self.persistence
        while member is not None and roster is not None and persistence is not None and member.outbox:
            if member.register.durable_mark < member.register.life_mark:
                persistence.save()  # nothing is sent in this life before the life itself is on disk
                return
            out, member.outbox = member.outbox, []
            for name, number, ask in out:
                if name != self.me:
                    asked = msgspec.to_builtins(ask)
                    message = {
                        "kind": "ask",
                        "epoch": roster.epoch,
                        "n": number,
                        "life": self.life,
                        "ask": asked,
                    }
                    self.effects.mail.append((name, message))
                    continue

                def to_self(answer: Answer, number: int = number) -> None:
                    if self.member is member:
                        member.on_answer(number, answer, self.now)
                        self.deliver()

                self.answer(ask, to_self)

    def peer_linked(self, peer: str) -> None:
        """On a new link, a member that may not vote yet asks the peer at once for its lost promises."""
        if self.member is not None and not self.votes and peer in self.member.peers:
            self.member.next_hello_at = self.now

    def roster_message(self, peer: str) -> Message:
        """The message that tells a peer the epoch; with the initial state if the peer is a member of it."""
        assert self.roster is not None
        knows = peer in self.roster.members and self.knows_base
        return {
            "kind": "roster",
            "roster": msgspec.to_builtins(self.roster),
            "base": self.base if knows else None,
        }

    def tick(self, now: float) -> None:
        """Runs everything that is due: operations, saves, the next quorum read."""
        self.now = max(self.now, now)
        member = self.member
        if member is None or self.persistence is None:
            return
        member.tick(now)
        self.persistence.tick()
        if self.votes and now >= self.read_at:
            self.read_at = now + self.read_interval  # whoever finds a newer value announces it to all
            member.read(CONFIGURATION_KEY, self.on_read, now)
        self.deliver()

    # reads and writes

    def value(self, entry: Entry | None) -> Value:
        """The value of a register entry; the epoch's initial value if there is no entry."""
        return Value(self.base) if entry is None else msgspec.json.decode(entry.data, type=Value)

    def on_read(self, result: Result, now: float) -> None:
        """Handles the result of this member's periodic quorum read."""
        if result.how in (How.DONE, How.REFUSED):
            self.adopt_chosen(self.value(result.entry), result.began)
            return
        self.read_at = min(
            self.read_at, now + READ_RETRY_S
        )  # when all members start at once the first read comes too early

    def adopt_chosen(self, value: Value, began: float) -> None:
        """Puts a majority's value in force; `began`: when the operation that found it was started."""
        if value.next is None:  # otherwise a majority of the next epoch may have a newer one
            self.lease.renew(began)
        if value.state["version"]:
            self.on_state(value.state)
        if value.next is not None and self.roster is not None and value.next.epoch > self.roster.epoch:
            self.begin(value.next, value.state)

    def read(self, decided: OnDecided) -> None:
        """Reads the newest state: no older than any that was acknowledged before this call."""
        if self.member is None:
            return decided(refused(503, "no member"), None)

        def ended(result: Result, now: float) -> None:
            if result.how is not How.DONE:
                return decided(refused(503, "no majority answers"), None)
            value = self.value(result.entry)
            self.adopt_chosen(value, result.began)
            if value.next is not None:
                return decided(refused(503, "the members are changing"), None)
            return decided(done(), value.state)

        self.member.read(CONFIGURATION_KEY, ended, self.now)
        return self.deliver()

    def speaks(self) -> bool:
        """True while this member votes and holds the lease."""
        return self.votes and self.lease.held(self.now)

    def confirm(self, ended: Callable[[bool], None]) -> None:
        """Runs a quorum read; `ended` is called once, with whether a majority answered."""
        self.read(lambda verdict, state: ended(state is not None))

    def decide(self, transition: Transition, decided: OnDecided) -> None:
        """Writes the result of `transition` on the newest state, after earlier changes queued here."""
        asked_at = self.now

        def begin(finished: Callable[[], None]) -> None:
            def ended(verdict: Verdict, state: State | None) -> None:
                finished()
                decided(verdict, state)

            if self.member is None:
                ended(refused(503, "no member"), None)
            elif self.now - asked_at > TERMS.within:
                ended(
                    refused(503, "the change waited too long behind others: its caller no longer waits"), None
                )
            else:
                self.write(self.member, transition, ended)

        if not self.changes.submit(begin):
            decided(refused(503, "too many changes wait"), None)

    def write(self, member: Member, transition: Transition, decided: OnDecided) -> None:
        """Writes through this member; `decided` is called once the outcome is known or can't be known."""
        proposal = Proposal(transition)

        def next_data(found: Entry | None) -> bytes | None:
            following = proposal.next_value(self.value(found))
            return msgspec.json.encode(following) if following is not None else None

        def ended(result: Result, now: float) -> None:
            if result.how not in (How.DONE, How.REFUSED):
                return decided(proposal.verdict(result.how, EMPTY), None)
            value = self.value(result.entry)
            self.adopt_chosen(value, result.began)
            return decided(proposal.verdict(result.how, value.state), value.state)

        member.write(CONFIGURATION_KEY, next_data, ended, self.now)
        self.deliver()

    def change_members(self, members: dict[str, Seat]) -> None:
        """Seals this epoch and starts the next one with these members."""
        if self.member is None or self.roster is None or not members:
            return
        following = Roster(self.roster.epoch + 1, members)

        def sealed(found: Entry | None) -> bytes | None:
            value = self.value(found)
            return None if value.next is not None else msgspec.json.encode(Value(value.state, following))

        self.member.write(CONFIGURATION_KEY, sealed, self.on_read, self.now)
        self.deliver()
