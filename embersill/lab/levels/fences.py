"""The fences of the two levels and of the decisions under them, each with the change that takes it out.

`python -m embersill.lab fences` plays schedules against each; one that stands in no schedule's way is worth
nothing as evidence. A text that no longer stands in its module fails a test, so the list can't go stale.
"""

from __future__ import annotations

from embersill.world.fences import Fence

FORWARDER, PLANNER = "embersill.tiers.forwarder", "embersill.tiers.planner"
RESERVES = "embersill.tiers.reserves"
LEDGER, WIRE, TERMS = "embersill.tiers.ledger", "embersill.tiers.wire", "embersill.tiers.terms"
ATTEMPTS, FLEET, THROTTLE = "embersill.attempts", "embersill.fleet", "embersill.throttle"

FENCES = (
    # what a forwarder keeps
    Fence(
        "fresh",
        FORWARDER,
        "a grant is executed however old its echo is, and written however late",
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
        "a dial that takes long is written however late",
        "min(echoed + self.terms.fresh + WRITE_GRACE_S, self.remembered_until(task))",
        "self.remembered_until(task)",
    ),
    Fence(
        "detach",
        FORWARDER,
        "a share is lent on at once, without waiting out the old loan",
        "part.loans[link.incarnation] = max(part.loans.get(link.incarnation, until), until)",
        "until = part.loans[link.incarnation] = self.now",
    ),
    Fence(
        "free-in",
        FORWARDER,
        "a new holder is not told until when the share is still in use",
        "free_in = max(part.free_at(link.incarnation) - self.now, 0.0)",
        "free_in = 0.0",
    ),
    Fence(
        "recall",
        FORWARDER,
        "a planner that is left is not told",
        "self.outbox[link.name].append(Recall([part.number], 0))",
        "pass",
    ),
    Fence(
        "returned",
        FORWARDER,
        "a part moves on before its holder has given it back",
        "part.recalled, part.recall_until = self.last_token, self.now + self.terms.recall",
        "self.returned(holder, -1) if part.recalled else None\n            part.recalled = self.last_token\n"
        "            part.recall_until = self.now + self.terms.recall\n"
        "            self.returned(holder, self.last_token)",
    ),
    Fence(
        "earlier-life",
        FORWARDER,
        "one that starts takes its share to be free",
        'loans={"": now + terms.bequest}',
        "loans={}",
    ),
    Fence(
        "lent-empties",
        FORWARDER,
        "what waits here may still leave on a share that is lent",
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
        "a decision made here starts from a full share",
        "return kept.units + filled",
        "return kept.units + plan.ceiling_depth * self.share",
        ((FORWARDER, "ceiling, depth = 0.0, kept.units\n", "ceiling = 0.0\n"),),
    ),
    # what forwarders hold of ceilings in reserve
    Fence(
        "reserve-spent",
        FORWARDER,
        "what is spent of a reserve is still there",
        "kept.units = max(kept.units - request.units, 0.0)",
        "pass",
    ),
    Fence(
        "reserve-yielded",
        FORWARDER,
        "what is given back of a reserve is still there",
        "kept.units += max(message.units, 0.0) - back",
        "kept.units += max(message.units, 0.0)",
    ),
    Fence(
        "reserve-waits",
        FORWARDER,
        "what waits here may leave on a reserve that was given back",
        "if message.customer in self.local.throttles:",
        "if False:",
    ),
    Fence(
        "reserve-told",
        FORWARDER,
        "a new planner does not hear what is held",
        "out.append(Holds(holds[start : start + CUSTOMERS_PER_MESSAGE]))",
        "pass",
    ),
    Fence(
        "reserve-taken",
        PLANNER,
        "what is handed out is not taken from the planner's own level",
        "self.allot(part, ask.customer, plan, throttle.cap - transfer.units)",
        "self.allot(part, ask.customer, plan)",
    ),
    Fence(
        "reserve-known",
        PLANNER,
        "a new planner takes what others hold for its own",
        "return cap - self.reserves_held(part, customer), level",
        "return cap, level",
    ),
    Fence(
        "reserve-depth",
        RESERVES,
        "a planner's bucket is as deep as if nothing were held elsewhere",
        "return max(plan.ceiling_depth * ceiling - held - unknown, 0.0)",
        "return plan.ceiling_depth * ceiling",
    ),
    Fence(
        "ask-number",
        FORWARDER,
        "what an old planner says of a request still counts",
        "        self.asks.pop(task.ask, None)\n        task.ask, task.link = 0, None",
        "        return",
    ),
    Fence(
        "attempts-told",
        FORWARDER,
        "a new planner is not told which attempts may have run",
        "self.now - sent, outcome.value if outcome is not None else None)",
        "self.now - sent, outcome.value if outcome is not None else 'turned away')",
    ),
    Fence(
        "dead-links",
        FORWARDER,
        "a link that is open at this end only is kept",
        "if link.up and self.now - link.heard > self.terms.dead_after:",
        "if False:",
    ),
    Fence(
        "spends-reported",
        FORWARDER,
        "what was passed on is not reported with a loan",
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
    # what a planner keeps
    Fence(
        "usable",
        PLANNER,
        "a lender is counted for ever",
        "if lender.free_at <= self.now < lender.until and self.is_proven(part, lender)",
        "if lender.free_at <= self.now and self.is_proven(part, lender)",
    ),
    Fence(
        "free-at",
        PLANNER,
        "a share is spent while who had it before may still use it",
        "if lender.free_at <= self.now < lender.until and",
        "if self.now < lender.until and",
    ),
    Fence(
        "beat-time",
        PLANNER,
        "a loan is counted from the echo's arrival, not from its beat's going out",
        "session.loan_until = sent + self.terms.usable",
        "session.loan_until = self.now + self.terms.usable",
    ),
    Fence(
        "proven",
        PLANNER,
        "a stale loan counts though its forwarder may be elsewhere",
        "return proven_at(lender.session) >= part.changed_at  #",
        "return True  #",
    ),
    Fence(
        "at-one-moment",
        PLANNER,
        "a part is whole though one forwarder may have left before the last came",
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
        "what a forwarder does not remember is taken to be nothing",
        "span = min(horizon, max(self.known_span(part), 0.0))",
        "span = horizon",
    ),
    Fence(
        "unlend",
        PLANNER,
        "what a forwarder takes back is still spent",
        "        del part.lenders[session.name]\n        part.whole = False",
        "        part.whole = False",
    ),
    Fence(
        "inherited",
        PLANNER,
        "attempts of a request that is taken over are forgotten",
        "self.run_module(Inherited(job.request, ask.age, attempts))",
        "self.run_module(Inherited(job.request, ask.age, ()))",
    ),
    # what a ledger and a wire keep
    Fence(
        "horizon",
        LEDGER,
        "spends are forgotten before the span is over that a replay goes back",
        "while spends[0][0] < now - self.horizons[plan]:",
        "while spends[0][0] < now - 0.1:",
    ),
    Fence(
        "frame-order",
        WIRE,
        "a frame that came twice or not at all goes unnoticed",
        "if batch.number != self.got + 1:",
        "if False:",
    ),
    # what the decisions keep
    Fence(
        "drain",
        ATTEMPTS,
        "a backend that drains is drawn, and sent to",
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
        "a cold backend gets as much as a warm one",
        "return part * server.cold_share(self.turn.now, self.turn.settings)",
        "return 1.0",
    ),
    Fence(
        "unsafe-once",
        ATTEMPTS,
        "what must not run twice is sent again",
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
        "one that may have run is refused",
        "if job.may_have_run is not None and not harmless:",
        "if False:",
    ),
    Fence(
        "may-have-run",
        ATTEMPTS,
        "a broken attempt counts as one that never ran",
        "attempt.out, attempt.did_not_run = False, event.outcome.never_ran",
        "attempt.out, attempt.did_not_run = False, event.outcome is not Outcome.SERVED",
    ),
    Fence(
        "ceiling",
        ATTEMPTS,
        "a ceiling is not looked at",
        "return job.charge is not None or plan.ceiling_rate <= 0 "
        "or job.request.units <= job.throttle.cap + EPS",
        "return True",
        ((THROTTLE, "if self.plan.ceiling_rate > 0 and units + taken - self.cap > EPS:", "if False:"),),
    ),
    Fence(
        "charged-when-passed",
        ATTEMPTS,
        "a ceiling is charged when a try is first sent, though nothing came",
        "elif all(a.not_delivered for a in job.attempts):",
        "elif False:",
    ),
    Fence(
        "uncharged-anew",
        THROTTLE,
        "what a bucket could not have refilled is given back",
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
# those that the schedules of the time before the kernel could not find (issue's table), in its order
BLIND_BEFORE = ("fresh", "detach", "usable", "recall", "left-of")
