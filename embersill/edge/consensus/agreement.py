"""The thin layer over the cells: the gateways with a disk agree on the configuration, and on who they are.

The register is the council's (embersill/council): CASPaxos with promises on disk and lives. Its members are
fixed; here they change by epochs. Each epoch has a register of its own among its members. To change them, the
register's value is *sealed*: an entry that names the next epoch's members, after which that register takes
nothing more. The next epoch begins with the value that was sealed. One register decides one seal, so there is
one next epoch, and whoever still asks the old one finds the seal (Lamport, Malkhi and Zhou 2010,
"Reconfiguring a State Machine"; a stoppable state machine). No I/O: what has to be on disk first is a `Save`.
"""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec

from embersill.council.member import How, Member, Result
from embersill.council.messages import AnyAnswer, AnyAsk, Answer, Ask, Entry
from embersill.council.register import Register, Whole
from embersill.council.terms import CouncilTerms
from embersill.edge.configuration.document import EMPTY, State
from embersill.edge.consensus.handover import Handover
from embersill.edge.consensus.lease import Lease
from embersill.edge.consensus.persistence import Persistence
from embersill.edge.consensus.proposals import Transition, Proposal
from embersill.edge.records import Effects, Message, Roster, Seat, Stored, Value
from embersill.edge.consensus.serial import SerialQueue
from embersill.edge.verdict import Verdict, done, refused

KEY = "configuration"
TERMS = CouncilTerms(attempt=0.3, within=0.85, settle=0.15, hello_every=0.5, back_off=0.02, most_back_off=0.2)
FEW = 3.0  # members that look each second
READ_EVERY = 1.0  # seconds after which a member looks whether another has written
MOST_CHANGES = 64  # that wait for those before them
READ_AGAIN = 0.25  # seconds after a look that no majority answered

Decided = Callable[[Verdict, State | None], None]


class Agreement:
    """One gateway's part in it: a member if it is on the roster, else one that only knows the roster."""

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
        """`life`: names this life of the process. `durable`: False where nothing can be kept, so that this
        gateway takes no seat even if the roster names it."""
        self.me, self.store, self.effects, self.chance, self.now = me, store, effects, chance, now
        self.life, self.durable = life, durable
        self.lease = Lease()
        self.changes = SerialQueue(MOST_CHANGES)
        self.persistence: Persistence | None = None  # of the member's register
        self.handover = Handover(me, effects)
        self.roster: Roster | None = None
        self.base: State = EMPTY  # what the epoch began with, where that is known
        self.knows_base = False
        self.member: Member | None = None
        self.on_state: Callable[[State], None] = lambda state: None
        self.on_roster: Callable[[Roster], None] = lambda roster: None
        self.read_at = now

    # the start, and epochs

    def load(self, stored: Stored) -> None:
        """Goes on with what the disk has."""
        if stored.begun is None:
            return
        self.roster, self.base, self.knows_base = stored.begun.roster, stored.begun.base, True
        kept = stored.remembered
        self.sit(kept.whole if kept is not None and kept.epoch == self.roster.epoch else None, loaded=True)

    def begin(self, roster: Roster, base: State | None) -> None:
        """A later epoch. Without its base only the roster is known, and its members give the rest."""
        if (
            self.roster is not None
            and roster.epoch <= self.roster.epoch
            and (base is None or self.member is not None or self.me not in roster.members or not self.durable)
        ):
            return
        if base is None and self.me in roster.members:
            return  # told by one that does not know it: another will
        self.handover.begin(self.roster, roster)
        self.roster, self.base, self.knows_base = roster, base or EMPTY, base is not None
        before, self.member = self.member, None
        if before is not None:
            before.close()
        if self.persistence is not None:
            self.persistence.replaced, self.persistence = True, None
        self.sit(None, loaded=False)
        if self.persistence is not None:
            self.persistence.save()
        self.on_roster(roster)

    def sit(self, whole: Whole | None, loaded: bool) -> None:
        """Takes this member's seat in the epoch, if it has one. `loaded`: the epoch came from the disk.

        One without records has never answered in this epoch if its disk is the one that the roster names;
        with another disk it may have, and learns from the others what it has forgotten.
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
            register.safe = register.mark
            register.begin(nonce)
        elif seat.store == self.store:
            register.load([])
            register.found(nonce)
        else:
            register.load(None)
        self.member = Member(register, TERMS, self.chance, self.now)
        self.persistence = Persistence(
            register, self.roster, self.base, self.effects, loaded, self.handover.saved
        )
        self.member.on_learned = self.persistence.save
        self.lease.set_read_interval(self.read_interval)
        self.read_at = self.now

    @property
    def read_interval(self) -> float:
        """Seconds between this member's quorum reads: the more members look, the less often each needs to."""
        members = len(self.roster.members) if self.roster is not None else 0
        return READ_EVERY * max(members / FEW, 1.0)

    @property
    def votes(self) -> bool:
        """True while this member may vote in its epoch."""
        return self.member is not None and self.member.register.votes

    # messages

    def heard(self, peer: str, message: Message) -> None:
        """A question or an answer of another member's; one of another epoch is set right."""
        roster, member = self.roster, self.member
        if roster is None:
            return
        if message["epoch"] != roster.epoch or member is None:
            if message["kind"] == "ask" and message["epoch"] < roster.epoch:
                self.effects.mail.append((peer, self.told_roster(peer)))
            return
        if message["kind"] == "ask":
            number, life = message["n"], message["life"]
            ask = msgspec.convert(message["ask"], AnyAsk)

            def reply(answer: Answer) -> None:
                told = msgspec.to_builtins(answer)
                message = {"kind": "told", "epoch": roster.epoch, "n": number, "life": life, "answer": told}
                self.effects.mail.append((peer, message))

            self.answer(ask, reply)
        else:  # to this life: `Node` drops the others
            member.answered(message["n"], msgspec.convert(message["answer"], AnyAnswer), self.now)
            self.deliver()

    def answer(self, ask: Ask, reply: Callable[[Answer], None]) -> None:
        """Has the register answer a question; `reply` hears the answer once what it rests on is on disk."""
        if self.member is not None and self.persistence is not None:
            answer = self.member.register.handle(ask)
            self.persistence.after_save(lambda: reply(answer))

    def deliver(self) -> None:
        """Sends what the member asks; one's own register is asked by way of the same disk."""
        member, roster, persistence = self.member, self.roster, self.persistence
        while member is not None and roster is not None and persistence is not None and member.outbox:
            if member.register.safe < member.register.life_mark:
                persistence.save()  # nothing is said under a life that is not on disk yet
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
                        member.answered(number, answer, self.now)
                        self.deliver()

                self.answer(ask, to_self)

    def met(self, peer: str) -> None:
        """A peer is linked: a member that has no vote yet asks it at once whether its memory is whole."""
        if self.member is not None and not self.votes and peer in self.member.peers:
            self.member.hello_at = self.now

    def told_roster(self, peer: str) -> Message:
        """The epoch, for a peer; with what it begins with if the peer is to sit in it."""
        assert self.roster is not None
        knows = peer in self.roster.members and self.knows_base
        return {
            "kind": "roster",
            "roster": msgspec.to_builtins(self.roster),
            "base": self.base if knows else None,
        }

    def tick(self, now: float) -> None:
        """What is due by now: operations, the disk, the next quorum read."""
        self.now = max(self.now, now)
        member = self.member
        if member is None or self.persistence is None:
            return
        member.tick(now)
        self.persistence.tick()
        if self.votes and now >= self.read_at:
            self.read_at = now + self.read_interval  # whoever finds a newer value tells all
            member.read(KEY, self.looked, now)
        self.deliver()

    # what is agreed on

    def value(self, entry: Entry | None) -> Value:
        """What an entry of the register holds; the epoch's base where there is none."""
        return Value(self.base) if entry is None else msgspec.json.decode(entry.data, type=Value)

    def looked(self, result: Result, now: float) -> None:
        """A quorum read of this member's own has ended."""
        if result.how in (How.DONE, How.REFUSED):
            self.chosen(self.value(result.entry), result.began)
            return
        self.read_at = min(self.read_at, now + READ_AGAIN)  # after a start of all the first look is too early

    def chosen(self, value: Value, began: float) -> None:
        """A value that a majority has, by a question that began then: it is in force from now on."""
        if value.next is None:  # else a majority of the next epoch may have a newer one
            self.lease.renew(began)
        if value.state["version"]:
            self.on_state(value.state)
        if value.next is not None and self.roster is not None and value.next.epoch > self.roster.epoch:
            self.begin(value.next, value.state)

    def read(self, decided: Decided) -> None:
        """The newest state: no older than any that was acknowledged before it was asked for."""
        if self.member is None:
            return decided(refused(503, "no member"), None)

        def ended(result: Result, now: float) -> None:
            if result.how is not How.DONE:
                return decided(refused(503, "no majority answers"), None)
            value = self.value(result.entry)
            self.chosen(value, result.began)
            if value.next is not None:
                return decided(refused(503, "the members are changing"), None)
            return decided(done(), value.state)

        self.member.read(KEY, ended, self.now)
        return self.deliver()

    def speaks(self) -> bool:
        """True while a majority vouches for what this member holds."""
        return self.votes and self.lease.held(self.now)

    def confirm(self, ended: Callable[[bool], None]) -> None:
        """Asks whether a majority vouches for this member from now on; `ended` hears it, once."""
        self.read(lambda verdict, state: ended(state is not None))

    def decide(self, transition: Transition, decided: Decided) -> None:
        """Lays what `make` makes of the newest state, after what was asked for here before."""
        asked_at = self.now

        def begin(finished: Callable[[], None]) -> None:
            def ended(verdict: Verdict, state: State | None) -> None:
                finished()
                decided(verdict, state)

            if self.member is None:
                ended(refused(503, "no member"), None)
            elif self.now - asked_at > TERMS.within:
                ended(refused(503, "others went first: nobody waits for this one any more"), None)
            else:
                self.write(self.member, transition, ended)

        if not self.changes.submit(begin):
            decided(refused(503, "too many changes wait"), None)

    def write(self, member: Member, transition: Transition, decided: Decided) -> None:
        """Writes by way of this member; `decided` hears once it is certain, or can't be."""
        proposal = Proposal(transition)

        def laid(found: Entry | None) -> bytes | None:
            following = proposal.next_value(self.value(found))
            return msgspec.json.encode(following) if following is not None else None

        def ended(result: Result, now: float) -> None:
            if result.how not in (How.DONE, How.REFUSED):
                return decided(proposal.verdict(result.how, EMPTY), None)
            value = self.value(result.entry)
            self.chosen(value, result.began)
            return decided(proposal.verdict(result.how, value.state), value.state)

        member.write(KEY, laid, ended, self.now)
        self.deliver()

    def reseat(self, members: dict[str, Seat]) -> None:
        """Seals this epoch and begins the next one with these members."""
        if self.member is None or self.roster is None or not members:
            return
        following = Roster(self.roster.epoch + 1, members)

        def sealed(found: Entry | None) -> bytes | None:
            value = self.value(found)
            return None if value.next is not None else msgspec.json.encode(Value(value.state, following))

        self.member.write(KEY, sealed, self.looked, self.now)
        self.deliver()
