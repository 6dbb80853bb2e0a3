"""The fences of the council, each with the change that takes it out: `lab fences --world council`."""

from __future__ import annotations

from embersill.world.fences import Fence

REGISTER, MEMBER, OFFICES = (f"embersill.council.{name}" for name in ("register", "member", "offices"))
FENCES_OF, JOURNAL = (f"embersill.council.{name}" for name in ("fences", "journal"))
GROUP_COMMIT, CORE = (f"embersill.council.{name}" for name in ("group_commit", "core"))
EXPORT, USAGE, TERMS = (f"embersill.council.{name}" for name in ("export", "usage", "terms"))

FENCES = (
    # the register
    Fence(
        "accept-promised",
        REGISTER,
        "a member accepts what is below a ballot that it promised",
        "  # a duplicate\n        if request.ballot < cell.promised:",
        "  # a duplicate\n        if False:",
    ),
    Fence(
        "majority",
        TERMS,
        "half of the members are taken for a majority",
        "return members // 2 + 1",
        "return max(members // 2, 1)",
    ),
    Fence(
        "highest-found",
        MEMBER,
        "a write builds on whatever answered first, not on the latest",
        "        latest = max(operation.replies.values(), key=lambda reply: reply.accepted)\n        found",
        "        latest = next(iter(operation.replies.values()))\n        found",
    ),
    Fence(
        "not-fresh",
        MEMBER,
        "what was promised ahead answers for a value, though another may have written",
        "if found is None or settled and fresh:",
        "if found is None or settled:",
    ),
    Fence(
        "settled",
        MEMBER,
        "a value that a minority has accepted is told as read",
        "if found is None or settled and fresh:",
        "if True:",
    ),
    Fence(
        "same-peek",
        MEMBER,
        "a quick read returns what one of those that answered has accepted",
        "if len(valid_voters(operation.replies) & same.keys()) >= self.needed:",
        "if True:",
    ),
    Fence(
        "own-beneath",
        MEMBER,
        "a write whose entry may be in, beneath another's, is done a second time",
        "elif operation.undecided and found is not None "
        "and found.version >= min(operation.undecided.values()):",
        "elif False:",
    ),
    Fence(
        "refused-by-all",
        MEMBER,
        "an entry is taken to be nowhere though somebody has accepted it",
        "if answer.accepted >= answer.ballot:",
        "if False:",
        ((MEMBER, "if by == self.register.members and", "if len(by) >= self.needed and"),),
    ),
    Fence(
        "own-again",
        MEMBER,
        "a write finds its own entry of a round that seemed lost, and is done twice",
        "if found is not None and found.writer in operation.undecided:",
        "if False:",
        (
            (
                MEMBER,
                "elif operation.undecided and found is not None and found.version >= "
                "min(operation.undecided.values()):",
                "elif False:",
            ),
        ),
    ),
    # lives and memories
    Fence(
        "memory",
        REGISTER,
        "a member whose disk is lost votes as if it had promised nothing",
        "self.memory_complete = records is not None",
        "self.memory_complete = True",
        (
            (
                REGISTER,
                "            return Superseded(\n                self.answer_origin,\n"
                "                self.known_boots(),\n"
                '                self.lives.get(name, Life(0, "")),\n'
                "                self.marks.get(name, 0),\n            )",
                "            pass",
            ),
            (
                MEMBER,
                "            known.boot > mine.boot\n",
                "            False and known.boot > mine.boot\n",
            ),
            (MEMBER, "            or mark > self.register.mark", ""),
            (GROUP_COMMIT, "self.compact = not core.register.memory_complete", "self.compact = True"),
            (
                REGISTER,
                "if known is not None and (\n            origin.life.boot < known.boot",
                "if known is not None and (\n            False",
            ),
            (
                REGISTER,
                "            or origin.life.boot == known.boot\n"
                "            and origin.life.nonce != known.nonce\n        ):\n"
                "            return False",
                "        ):\n            return False",
            ),
            (MEMBER, "if answer.origin.life.boot >= boots[name]}", "}"),
            (
                REGISTER,
                "                return Superseded(self.answer_origin, self.known_boots(), *known)",
                "                pass",
            ),
        ),
    ),
    Fence(
        "behind",
        MEMBER,
        "a memory of which others have seen more is taken for whole",
        "if register.memory_complete and not register.votes and self.is_behind(hello.life, hello.mark):",
        "if False:",
        (
            (JOURNAL, "if header.file != self.files.identity(self.name):", "if False:"),
            (
                MEMBER,
                "            if register.memory_complete:\n"
                '                self.forget(f"{answer.origin.name}',
                '            if False:\n                self.forget(f"{answer.origin.name}',
            ),
            (
                REGISTER,
                "            or origin.life.boot == known.boot\n"
                "            and origin.life.nonce != known.nonce\n        ):\n"
                "            return False",
                "        ):\n            return True",
            ),
        ),
    ),
    Fence(
        "copy",
        JOURNAL,
        "a copy of a journal is taken for the journal",
        "if header.file != self.files.identity(self.name):",
        "if False:",
    ),
    Fence(
        "learn-majority",
        MEMBER,
        "who lost its memory learns from one other member",
        "if len(voters) >= self.needed:  # a majority of all members, without this one",
        "if len(voters) >= 1:",
        ((MEMBER, "or len(known) < self.needed:", "or len(known) < 1:"),),
    ),
    Fence(
        "learn-accepted",
        REGISTER,
        "who lost its memory does not learn what was accepted",
        "if key_state.accepted > cell.accepted:",
        "if False:",
    ),
    # the disk
    Fence(
        "written-first",
        GROUP_COMMIT,
        "an answer goes out before what it says is on disk",
        "            self.waiting.append((self.core.handle(request, now), send))",
        "            send(self.core.handle(request, now))",
    ),
    # offices
    Fence(
        "lease-began",
        OFFICES,
        "a lease is counted from when its write ended",
        "self.lease.expires_at = max(self.lease.expires_at, result.began + self.terms.usable)",
        "self.lease.expires_at = max(self.lease.expires_at, now + self.terms.usable)",
    ),
    Fence(
        "take-began",
        OFFICES,
        "a lease is counted from when its first write ended",
        "expires_at = result.began + self.terms.usable",
        "expires_at = now + self.terms.usable",
    ),
    Fence(
        "drift",
        TERMS,
        "an owner counts on its clock being no slower than the others'",
        "return self.lease * (1.0 - MAX_CLOCK_DRIFT)",
        "return self.lease",
    ),
    Fence(
        "wait-lease",
        OFFICES,
        "an office is taken over while its owner may still act",
        "wait = self.terms.lease if self.observed.record.holder else 0.0",
        "wait = 0.0",
    ),
    Fence(
        "unchanged",
        OFFICES,
        "an office is taken though its owner has renewed it meanwhile",
        "return encode_office(record) if Observation.of(entry) == before else None",
        "return encode_office(record)",
    ),
    Fence(
        "same-writer",
        OFFICES,
        "an entry that came in another's place, with its version, passes for it",
        "cls(entry.version, entry.writer, read_office(entry))",
        'cls(entry.version, "", read_office(None) if False else read_office(entry))',
        (
            (
                OFFICES,
                "return encode_office(record) if Observation.of(entry) == before else None",
                "return encode_office(record) if Observation.of(entry).version == before.version else None",
            ),
            (
                OFFICES,
                "        if (\n            found == self.observed\n            or not confirmed\n"
                "            and self.observed is not None\n"
                "            and found.version < self.observed.version\n        ):",
                "        if self.observed is not None and found.version <= self.observed.version:",
            ),
            (
                OFFICES,
                "if self.observed == before and now >= self.may_take_at():",
                "if self.observed is not None and self.observed.version == before.version "
                "and now >= self.may_take_at():",
            ),
        ),
    ),
    Fence(
        "lapses",
        OFFICES,
        "an owner acts on after its lease",
        "return self.lease is not None and now < self.lease.expires_at and not self.leaving",
        "return self.lease is not None",
        ((OFFICES, "if self.lease is not None and now >= self.lease.expires_at:", "if False:"),),
    ),
    Fence(
        "number",
        OFFICES,
        "an office keeps its number when it changes hands",
        "before, number = self.observed, self.observed.record.number + 1",
        "before, number = self.observed, max(self.observed.record.number, 1)",
    ),
    # whoever is acted upon
    Fence(
        "old-act",
        FENCES_OF,
        "a member takes the act of an old owner",
        "if act.number < max(number, known_number):",
        "if False:",
        (
            (
                FENCES_OF,
                "if holder != sender or act.number == number and " "self.owners.get(act.office) != sender:",
                "if False:",
            ),
        ),
    ),
    Fence(
        "unknown-act",
        FENCES_OF,
        "a member takes an act under a number that nobody has held",
        "if act.number > known_number:",
        "if False:",
    ),
    Fence(
        "stranger",
        FENCES_OF,
        "a member takes an act from one who does not hold the office",
        "if holder != sender or act.number == number and self.owners.get(act.office) != sender:",
        "if False:",
    ),
    Fence(
        "given-up",
        FENCES_OF,
        "a member takes an act under a number that was given up",
        "        if not holder:\n            return FenceResult.OLD  # it was released\n"
        "        if holder != sender or",
        "        if holder and holder != sender or",
    ),
    Fence(
        "repeated",
        FENCES_OF,
        "a member takes an act twice",
        "if act.number == number and act.sequence <= sequence:",
        "if False:",
    ),
    # the export
    Fence(
        "intent",
        EXPORT,
        "a new owner does not ask whether the last append of the old one was booked",
        "if found.position + 1 == position and found.intent is not None:\n"
        "                return encode_state(ExportState(number, position, found.intent))",
        "if found.position + 1 == position and found.intent is not None:\n"
        "                return encode_state(ExportState(number, position, found.confirmed))",
    ),
    Fence(
        "until-certain",
        EXPORT,
        "an append without an answer is given up, and another is made of what waits",
        "        else:\n            self.retry_later(now)\n        return None",
        "        else:\n            self.confirm(now)\n        return None",
    ),
    Fence(
        "claim-first",
        EXPORT,
        "a new owner reads billing's position without claiming its number first",
        "if answer.status == 200 and answer.position >= 0:\n                self.position, self.meta",
        "if answer.position >= 0:\n                self.position, self.meta",
        (
            (
                EXPORT,
                "        if answer.status == 412:  # a later owner",
                "        if False:  # a later owner",
            ),
            ("embersill.rig.billing", "        if number < self.highest_number:", "        if False:"),
        ),
    ),
    Fence(
        "offered-first",
        USAGE,
        "a batch is offered before it is on disk, and its number comes again",
        "numbers = sorted(number for number in self.batches if number <= self.durable_batch)",
        "numbers = sorted(self.batches)",
    ),
    Fence(
        "kept-batch",
        USAGE,
        "a planner forgets a batch once it is offered",
        "return [(number, self.batches[number]) for number in numbers[:most]]",
        "return [(number, self.batches.pop(number)) for number in numbers[:most]]",
    ),
)
BY_NAME = {fence.name: fence for fence in FENCES}
