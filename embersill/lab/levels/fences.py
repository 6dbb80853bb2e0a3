"""The fences of the two levels and of the decision module, each with the change that takes it out.

`python -m embersill.lab fences` plays schedules without each of them; a rule whose fence can be taken out
without a violation is not tested. A text that no longer occurs in its module fails a test, so the list stays
up to date.
"""

from __future__ import annotations

from embersill.world.fences import Fence

FORWARDER, PLANNER = "embersill.tiers.forwarder", "embersill.tiers.planner"
RESERVES = "embersill.tiers.reserves"
LEDGER, WIRE, TERMS = "embersill.tiers.ledger", "embersill.tiers.wire", "embersill.tiers.terms"
ATTEMPTS, FLEET, THROTTLE = "embersill.attempts", "embersill.fleet", "embersill.throttle"

FENCES = (
    # rules that a forwarder enforces
    Fence(
        "fresh",
        FORWARDER,
        "a grant is executed with an echo of any age, and written at any time",
        "if task.over or echoed is None or self.now - echoed > self.terms.fresh:",
        "if task.over or echoed is None:",
        (
            (
                FORWARDER,
                "min(echoed + self.terms.fresh + WRITE_GRACE_S, self.remembered_until(task))",
                "self.remembered_until(task)",
            ),
        ),
    ),
    Fence(
        "write-by",
        FORWARDER,
        "an attempt is written at any time after a slow dial",
        "min(echoed + self.terms.fresh + WRITE_GRACE_S, self.remembered_until(task))",
        "self.remembered_until(task)",
    ),
    Fence(
        "detach",
        FORWARDER,
        "a share is lent again immediately, without waiting for the old loan to expire",
        "part.loans[link.incarnation] = max(part.loans.get(link.incarnation, until), until)",
        "until = part.loans[link.incarnation] = self.now",
    ),
    Fence(
        "free-in",
        FORWARDER,
        "a new holder is not informed until when the share is still in use",
        "free_in = max(part.free_at(link.incarnation) - self.now, 0.0)",
        "free_in = 0.0",
    ),
    Fence(
        "recall",
        FORWARDER,
        "a planner is not informed when a forwarder leaves it",
        "self.outbox[link.name].append(Recall([part.number], 0))",
        "pass",
    ),
    Fence(
        "returned",
        FORWARDER,
        "a part moves to another planner before its holder returned it",
        "part.recalled, part.recall_until = self.last_token, self.now + self.terms.recall",
        "self.returned(holder, -1) if part.recalled else None\n            part.recalled = self.last_token\n"
        "            part.recall_until = self.now + self.terms.recall\n"
        "            self.returned(holder, self.last_token)",
    ),
    Fence(
        "earlier-life",
        FORWARDER,
        "a starting forwarder assumes that its share is free",
        'loans={"": now + terms.bequest}',
        "loans={}",
    ),
    Fence(
        "lent-empties",
        FORWARDER,
        "waiting requests may still be sent on a share that was lent",
        "        for part in parts:\n            self.allot_part(part)\n",
        "",
        (
            (
                FORWARDER,
                "elif task.part.number in numbers and task.local and not (task.over or task.attempts):",
                "elif False:",
            ),
        ),
    ),
    Fence(
        "local-cap",
        FORWARDER,
        "a local decision starts from a full share",
        "return kept.units + filled",
        "return kept.units + plan.ceiling_depth * self.share",
        ((FORWARDER, "ceiling, depth = 0.0, kept.units\n", "ceiling = 0.0\n"),),
    ),
    # reserves of ceilings at forwarders
    Fence(
        "reserve-spent",
        FORWARDER,
        "a reserve is not reduced by what is spent",
        "kept.units = max(kept.units - request.units, 0.0)",
        "pass",
    ),
    Fence(
        "reserve-yielded",
        FORWARDER,
        "a reserve is not reduced by what is given back",
        "kept.units += max(message.units, 0.0) - back",
        "kept.units += max(message.units, 0.0)",
    ),
    Fence(
        "reserve-waits",
        FORWARDER,
        "waiting requests may be sent on a reserve that was given back",
        "if message.customer in self.local.throttles:",
        "if False:",
    ),
    Fence(
        "reserve-told",
        FORWARDER,
        "a new planner is not informed of reserves",
        "out.append(Holds(holds[start : start + CUSTOMERS_PER_MESSAGE]))",
        "pass",
    ),
    Fence(
        "reserve-taken",
        PLANNER,
        "reserves that are handed out are not deducted from the planner's own level",
        "self.allot(part, ask.customer, plan, throttle.cap - transfer.units)",
        "self.allot(part, ask.customer, plan)",
    ),
    Fence(
        "reserve-known",
        PLANNER,
        "a new planner counts the reserves of forwarders as its own",
        "return cap - self.reserves_held(part, customer), level",
        "return cap, level",
    ),
    Fence(
        "reserve-depth",
        RESERVES,
        "the depth of a planner's bucket ignores reserves",
        "return max(plan.ceiling_depth * ceiling - held - unknown, 0.0)",
        "return plan.ceiling_depth * ceiling",
    ),
    Fence(
        "ask-number",
        FORWARDER,
        "messages of an old planner about a request still count",
        "        self.asks.pop(task.ask, None)\n        task.ask, task.link = 0, None",
        "        return",
    ),
    Fence(
        "attempts-told",
        FORWARDER,
        "a new planner is not informed which attempts may have been executed",
        "self.now - sent, outcome.value if outcome is not None else None)",
        "self.now - sent, outcome.value if outcome is not None else 'turned away')",
    ),
    Fence(
        "dead-links",
        FORWARDER,
        "a half-open link is kept",
        "if link.up and self.now - link.heard > self.terms.dead_after:",
        "if False:",
    ),
    Fence(
        "spends-reported",
        FORWARDER,
        "spent units are not reported with a loan",
        "report = [told for part in parts for told in self.ledger.report(part.number, self.now)]",
        "report = []",
    ),
    Fence(
        "keyed-dial",
        FORWARDER,
        "a keyed repeat is written after its key is forgotten",
        "self.remembered_until(task))\n        self.actions",
        "float('inf'))\n        self.actions",
    ),
    # rules that a planner enforces
    Fence(
        "usable",
        PLANNER,
        "a lender is counted without a time limit",
        "if lender.free_at <= self.now < lender.until and self.is_proven(part, lender)",
        "if lender.free_at <= self.now and self.is_proven(part, lender)",
    ),
    Fence(
        "free-at",
        PLANNER,
        "a share is spent while its previous user may still use it",
        "if lender.free_at <= self.now < lender.until and",
        "if self.now < lender.until and",
    ),
    Fence(
        "beat-time",
        PLANNER,
        "a loan is counted from the arrival of the echo instead of the sending of its beat",
        "session.loan_until = sent + self.terms.usable",
        "session.loan_until = self.now + self.terms.usable",
    ),
    Fence(
        "proven",
        PLANNER,
        "a stale loan counts although its forwarder may have moved to another planner",
        "return proven_at(lender.session) >= part.changed_at  #",
        "return True  #",
    ),
    Fence(
        "at-one-moment",
        PLANNER,
        "a part counts as complete although a forwarder may have left before the last one joined",
        "proven_at(lender.session) >= part.changed_at and self",
        "self",
    ),
    Fence(
        "left-of",
        PLANNER,
        "a ceiling starts full at a takeover",
        "cap = replay(plan.ceiling_depth, plan.ceiling_rate, span, 0.0, spends)",
        "cap = plan.ceiling_depth",
    ),
    Fence(
        "from-empty",
        PLANNER,
        "a replay starts from a full bucket",
        "cap = replay(plan.ceiling_depth, plan.ceiling_rate, span, 0.0, spends)",
        "cap = replay(plan.ceiling_depth, plan.ceiling_rate, span, plan.ceiling_depth, spends)",
    ),
    Fence(
        "known-span",
        PLANNER,
        "times that a forwarder does not remember count as times without spending",
        "span = min(horizon, max(self.known_span(part), 0.0))",
        "span = horizon",
    ),
    Fence(
        "unlend",
        PLANNER,
        "a share that a forwarder took back is still spent",
        "        del part.lenders[session.name]\n        part.whole = False",
        "        part.whole = False",
    ),
    Fence(
        "inherited",
        PLANNER,
        "the attempts of a request are forgotten at a takeover",
        "self.run_module(Inherited(job.request, ask.age, attempts))",
        "self.run_module(Inherited(job.request, ask.age, ()))",
    ),
    # rules of ledger and wire format
    Fence(
        "horizon",
        LEDGER,
        "spending is forgotten before the time span of a replay has passed",
        "while spends[0][0] < now - self.horizons[plan]:",
        "while spends[0][0] < now - 0.1:",
    ),
    Fence(
        "frame-order",
        WIRE,
        "duplicated and lost frames are not detected",
        "if batch.number != self.got + 1:",
        "if False:",
    ),
    # rules of the decision module
    Fence(
        "drain",
        ATTEMPTS,
        "a draining backend is chosen and used",
        "if server.backend.status is not Status.SERVING or not known:",
        "if not known:",
        (
            (
                FLEET,
                "self.order = [s for s in servers if s.backend.status is Status.SERVING]",
                "self.order = list(servers)",
            ),
        ),
    ),
    Fence(
        "cold-ramp",
        FLEET,
        "a cold backend gets as many requests as a warm one",
        "return part * server.cold_share(self.turn.now, self.turn.settings)",
        "return 1.0",
    ),
    Fence(
        "unsafe-once",
        ATTEMPTS,
        "a request that must not be executed twice is sent again",
        "if first is not None and job.klass.repeats is Repeats.ONCE:",
        "if False:",
    ),
    Fence(
        "dedup-window",
        ATTEMPTS,
        "a keyed repeat is sent after its key is forgotten",
        "if apart or self.turn.now - first.sent >= job.klass.memory:",
        "if apart:",
        (
            (ATTEMPTS, "send.write_by = job.may_have_run.sent + job.klass.memory", "pass"),
            (
                FORWARDER,
                "self.remembered_until(task))\n        self.actions",
                "float('inf'))\n        self.actions",
            ),
        ),
    ),
    Fence(
        "dedup-group",
        ATTEMPTS,
        "a keyed repeat goes to another group",
        "if apart or self.turn.now - first.sent >= job.klass.memory:",
        "if self.turn.now - first.sent >= job.klass.memory:",
        (
            (
                FLEET,
                "pool = [s for s in self.order if dedup_group(job.klass, s) == group]",
                "pass",
            ),
        ),
    ),
    Fence(
        "honest-refusal",
        ATTEMPTS,
        "a request that may have been executed is refused",
        "if job.may_have_run is not None and not harmless:",
        "if False:",
    ),
    Fence(
        "may-have-run",
        ATTEMPTS,
        "a broken attempt counts as not executed",
        "attempt.out, attempt.did_not_run = False, event.outcome.never_ran",
        "attempt.out, attempt.did_not_run = False, event.outcome is not Outcome.SERVED",
    ),
    Fence(
        "ceiling",
        ATTEMPTS,
        "ceilings are not checked",
        "return job.charge is not None or plan.ceiling_rate <= 0 "
        "or job.request.units <= job.throttle.cap + EPS",
        "return True",
        ((THROTTLE, "if self.plan.ceiling_rate > 0 and units + taken - self.cap > EPS:", "if False:"),),
    ),
    Fence(
        "charged-when-passed",
        ATTEMPTS,
        "a ceiling is charged when a request is first sent, even if it was not delivered",
        "elif all(a.not_delivered for a in job.attempts):",
        "elif False:",
    ),
    Fence(
        "uncharged-anew",
        THROTTLE,
        "units that the bucket could not have refilled are given back",
        "        self.charges.remove(charge)\n",
        "        self.charges.remove(charge)\n"
        "        self.cap = min(self.cap_depth, self.cap + charge.units)\n        return\n",
    ),
    Fence(
        "ceiling-depth",
        THROTTLE,
        "a ceiling's bucket fills without bound",
        "self.cap = min(self.cap_depth, self.cap + self.cap_rate * (now - self.stamp))",
        "self.cap = self.cap + self.cap_rate * (now - self.stamp)",
    ),
)

BY_NAME = {fence.name: fence for fence in FENCES}
# those that the schedules before the simulation kernel could not detect, in the order of the table
UNDETECTED_BEFORE_KERNEL = ("fresh", "detach", "usable", "recall", "left-of")
