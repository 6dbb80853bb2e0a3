"""The operator file's tables on rate limit services, typed, and what is checked when they are loaded."""

from __future__ import annotations

from typing import Literal

import msgspec

from embersill.interface import Settings

MOST_RULES = 1000


class RuleTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """[[ratelimit.answer.rules]]: which descriptors it is for, and whose units they take. The first fits.

    `match` names entries that a descriptor must have, by key; the value "*" stands for any. `customer` and
    `plan_from` name the entries that hold the customer and its plan.
    """

    domain: str
    match: dict[str, str]
    customer: str
    plan: str = ""
    plan_from: str = ""
    units: float = 1.0  # for each hit
    spread: int = 0  # gateways that the customer's requests come through; nought: all
    mode: Literal["limit", "shadow", "settle"] = "limit"
    override: Literal["ignore", "apply", "refuse"] = "ignore"


class AnswerTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """[ratelimit.answer]: the extra listener."""

    listen: str
    rules: list[RuleTable]
    unmatched: Literal["allow", "deny"] = "allow"  # descriptors that no rule is for
    most_descriptors: int = 64  # in one question
    most_message_bytes: int = 65_536
    most_open: int = 1024  # questions at once
    most_streams: int = 256  # on one connection
    reflection: bool = True


class AskTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """[ratelimit.ask]: outside services that rule on some plans' quotas."""

    services: list[str]
    domain: str
    plans: list[str]
    classes: list[str] = []  # of these plans only; none: all
    without_verdict: Literal["share", "deny", "allow"] = "share"
    overrun: float = 0.0  # units a second, over all customers, that "allow" lets through at most
    overrun_burst: float = 0.0
    timeout: float = 0.05  # seconds for one service
    within: float = 0.12  # seconds for a verdict in all
    within_part: float = 0.2  # of a request's budget, at most
    late: float = 2.0  # seconds for which a late answer is still heard
    settle: Literal["next", "ask"] = "next"  # differences to true units: with the next question, or at once
    break_after: int = 5  # failures in a row from which a service is left alone
    back_off: float = 0.25  # seconds for which it is, doubled each time
    most_back_off: float = 8.0
    most_customers: int = 20_000  # of whom differences and news are remembered
    most_open: int = 10_000  # questions at once


class RateLimitTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    answer: AnswerTable | None = None
    ask: AskTable | None = None


def check_ratelimit(table: RateLimitTable) -> None:
    """What can be told without the platform's settings; ValueError names key and reason."""
    if table.answer is not None:
        answer = table.answer
        if not 0 < len(answer.rules) <= MOST_RULES:
            raise ValueError(f"ratelimit.answer.rules must be 1 to {MOST_RULES}")
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
                    raise ValueError(f"{where} is never reached: an earlier rule takes all that it would")
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
                "ratelimit.ask: timeout must be above nought and at most within, within at most "
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
    """Plans and classes must be the platform's; ValueError names the one that is not."""
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
