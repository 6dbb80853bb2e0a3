"""The operator file's typed tables on rate limit services, and the checks when they are loaded."""

from __future__ import annotations

from typing import Literal

import msgspec

from embersill.interface import Settings

MAX_RULES = 1000


class RuleTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """[[ratelimit.answer.rules]]: the descriptors it matches and whose units they take. The first match wins.

    `match` maps keys to the values that a descriptor must have; the value "*" matches any. `customer` and
    `plan_from` are the keys of the entries that hold the customer and its plan.
    """

    domain: str
    match: dict[str, str]
    customer: str
    plan: str = ""
    plan_from: str = ""
    units: float = 1.0  # for each hit
    spread: int = 0  # gateways that receive the customer's requests; zero: all
    mode: Literal["limit", "shadow", "settle"] = "limit"
    override: Literal["ignore", "apply", "refuse"] = "ignore"


class AnswerTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """[ratelimit.answer]: the extra listener."""

    listen: str
    rules: list[RuleTable]
    unmatched: Literal["allow", "deny"] = "allow"  # the answer to descriptors that no rule matches
    most_descriptors: int = 64  # in one query
    most_message_bytes: int = 65_536
    most_open: int = 1024  # concurrent queries
    most_streams: int = 256  # on one connection
    reflection: bool = True


class AskTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """[ratelimit.ask]: outside services that rule on some plans' quotas."""

    services: list[str]
    domain: str
    plans: list[str]
    classes: list[str] = []  # classes that are asked about; empty: all
    without_verdict: Literal["share", "deny", "allow"] = "share"
    overrun: float = 0.0  # units per second over all customers: the limit of "allow"
    overrun_burst: float = 0.0
    timeout: float = 0.05  # seconds for one service
    within: float = 0.12  # seconds for a verdict in total
    within_part: float = 0.2  # of a request's budget, at most
    late: float = 2.0  # seconds for which a late answer still counts
    settle: Literal["next", "ask"] = "next"  # differences to true units: with the next query, or at once
    break_after: int = 5  # consecutive failures after which a service is not asked
    back_off: float = 0.25  # initial pause in seconds, doubled each time
    most_back_off: float = 8.0
    most_customers: int = 20_000  # whose accounts are remembered
    most_open: int = 10_000  # concurrent queries


class RateLimitTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """[ratelimit]: the listener for queries of others, and the services that this process queries."""

    answer: AnswerTable | None = None
    ask: AskTable | None = None


def check_ratelimit(table: RateLimitTable) -> None:
    """Checks what does not need the platform's settings; raises ValueError that names key and reason."""
    if table.answer is not None:
        answer = table.answer
        if not 0 < len(answer.rules) <= MAX_RULES:
            raise ValueError(f"ratelimit.answer.rules must be 1 to {MAX_RULES}")
        for number, rule in enumerate(answer.rules):
            where = f"ratelimit.answer.rules[{number}]"
            if not rule.domain:
                raise ValueError(f"{where}.domain is empty")
            if bool(rule.plan) == bool(rule.plan_from):
                raise ValueError(f"{where} needs plan or plan_from, and not both")
            if not rule.customer:
                raise ValueError(f"{where}.customer is empty")
            if not 0 < rule.units <= 1e6 or not 0 <= rule.spread <= 10_000:
                raise ValueError(f"{where}: units or spread is out of bounds")
            for earlier in answer.rules[:number]:
                wider = all(earlier.match[k] in ("*", rule.match.get(k)) for k in earlier.match)
                needed = earlier.match.keys() <= rule.match.keys()
                if earlier.domain == rule.domain and wider and needed:
                    raise ValueError(f"{where} is never reached: an earlier rule matches all that it would")
        for key, value, most in (
            ("most_descriptors", answer.most_descriptors, 10_000),
            ("most_open", answer.most_open, 100_000),
            ("most_message_bytes", answer.most_message_bytes, 1 << 24),
            ("most_streams", answer.most_streams, 100_000),
        ):
            if not 0 < value <= most:
                raise ValueError(f"ratelimit.answer.{key}: {value} is not from 1 to {most}")
    if table.ask is not None:
        ask = table.ask
        if not 0 < len(ask.services) <= 16 or len(set(ask.services)) != len(ask.services):
            raise ValueError("ratelimit.ask.services must be 1 to 16, all different")
        if not ask.domain or not ask.plans:
            raise ValueError("ratelimit.ask: domain and plans must not be empty")
        if not 0 < ask.timeout <= ask.within <= 5.0 or not 0 < ask.within_part <= 0.5:
            raise ValueError(
                "ratelimit.ask: timeout must be above zero and at most within, within at most "
                "5 s, within_part at most 0.5"
            )
        if ask.without_verdict == "allow" and not (ask.overrun > 0 and ask.overrun_burst > 0):
            raise ValueError('ratelimit.ask: without_verdict = "allow" needs overrun and overrun_burst')
        if ask.without_verdict != "allow" and (ask.overrun or ask.overrun_burst):
            raise ValueError('ratelimit.ask: overrun is for without_verdict = "allow"')
        if not 0 < ask.back_off <= ask.most_back_off or ask.break_after < 1 or ask.late < ask.within:
            raise ValueError("ratelimit.ask: back_off, most_back_off, break_after or late does not fit")
        if not 0 < ask.most_customers <= 1_000_000 or not 0 < ask.most_open <= 1_000_000:
            raise ValueError("ratelimit.ask: most_customers or most_open is out of bounds")


def check_names(table: RateLimitTable, settings: Settings) -> None:
    """Raises ValueError for a plan or class that the platform's settings do not have."""
    plans, classes = {p.name for p in settings.plans}, {c.name for c in settings.classes}
    if table.answer is not None:
        for number, rule in enumerate(table.answer.rules):
            if rule.plan and rule.plan not in plans:
                raise ValueError(f"ratelimit.answer.rules[{number}].plan: no plan {rule.plan!r}")
    if table.ask is not None:
        for key, named, known in (("plans", table.ask.plans, plans), ("classes", table.ask.classes, classes)):
            for name in named:
                if name not in known:
                    raise ValueError(f"ratelimit.ask.{key}: {name!r} is none of the platform's")
