"""The processes that an operator file describes, put together: by role, with rate limit services or none."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable
from typing import Any

from embersill.configuration.operator import Operator, read_operator
from embersill.configuration.platform import BadConfiguration, Configuration
from embersill.control import Gateway
from embersill.counting.keeper import Keeper
from embersill.counting.lines import Counting
from embersill.interface import Action, Event, Question, Verdict
from embersill.net.driver import Decider
from embersill.ratelimit.settings import RateLimitTable, check_names
from embersill.roles import Program, start_clock
from embersill.tiers.roles import ForwarderProgram, PlannerProgram

GRACE = 0.5  # seconds after SIGTERM in which open questions are answered: it may be killed 0.7 s after it

log = logging.getLogger("embersill")


def decide_at(
    handle: Callable[[Event, float], list[Action]],
    clock: Callable[[], float],
    perform: Callable[[list[Action]], None],
) -> Callable[[Question], Verdict]:
    """Puts questions to whoever decides; what else is to be done is done at once."""

    def decide(question: Question) -> Verdict:
        actions = handle(question, clock())
        verdicts = [a for a in actions if isinstance(a, Verdict)]
        perform([a for a in actions if not isinstance(a, Verdict)])
        return verdicts[0]

    return decide


class RateLimits:
    """What a process has of the rate limit service: its listener, and the services that it asks."""

    def __init__(self, table: RateLimitTable | None) -> None:
        self.table = table
        self.server: Any = None
        self.asked: Any = None

    def in_front_of(self, gateway: Gateway, clock: Callable[[], float]) -> Any:
        """The decider to drive: the module, or the module with services asked in front of it."""
        if self.table is None or self.table.ask is None:
            return gateway
        from embersill.ratelimit.client import AskingGateway

        self.asked = AskingGateway(gateway, self.table.ask, clock)
        return self.asked

    async def start(
        self,
        program: Program | PlannerProgram,
        decide: Callable[[Question], Verdict],
        perform: Callable[[list[Action]], None],
    ) -> None:
        if self.asked is not None:
            self.asked.perform = perform
        if self.table is not None and self.table.answer is not None:
            from embersill.ratelimit.answering import Answering
            from embersill.ratelimit.server import RateLimitServer

            answering = Answering(self.table.answer, program.settings, decide)
            self.server = RateLimitServer(self.table.answer, answering)
            await self.server.start()

    async def stop_answering(self) -> None:
        if self.server is not None:
            await self.server.stop(GRACE)

    async def close(self) -> None:
        if self.asked is not None:
            await self.asked.close()


class GatewayProgram(Program):
    """The one-level gateway with a rate limit service, or with what it knows of its counters kept apart."""

    def __init__(self, told: Configuration, operator: Operator, path: str = "") -> None:
        clock = start_clock()
        self.limits = RateLimits(operator.ratelimit)
        self.path = path
        kept = operator.counting is not None and told.counter is not None
        gateway = Gateway(told.settings, told.seed, clock(), repays=kept)
        decider: Decider = self.limits.in_front_of(gateway, clock)
        super().__init__(told, clock, decider, counts=not kept)
        self.clock = clock
        self.counting: Counting | None = None
        if kept:
            assert operator.counting is not None and told.counter is not None
            places = operator.counting.counters or [f"{told.counter[0]}:{told.counter[1]}"]
            keeper = Keeper(operator.counting.terms, told.settings.me, told.settings.gateways, places)
            self.counting = self.driver.counter = Counting(
                keeper,
                clock,
                told.settings.counter_patience,
                told.limits.dial_timeout,
                self.driver.on_counted,
            )

    async def start(self) -> None:
        if self.counting is not None:
            self.counting.start()
        await super().start()
        perform = self.driver.perform
        await self.limits.start(self, decide_at(self.driver.gateway.handle, self.clock, perform), perform)

    def reload(self) -> None:
        """The counters that the operator file names now; without any, the platform's one."""
        if self.counting is None:
            return super().reload()
        try:
            named = read_operator(self.path).counting
        except BadConfiguration as error:
            return log.warning("the counters stay as they were: %s", error)
        super().reload()  # it moves to the platform's one, if that has changed
        if named is not None and named.counters:
            self.counting.move_all(named.counters)
        return None

    async def stop(self, still_coming: float | None = None, all_answered: float | None = None) -> None:
        if self.counting is not None:
            self.counting.leave()
        answering = asyncio.ensure_future(self.limits.stop_answering())
        await super().stop(*(x for x in (still_coming, all_answered) if x is not None))
        await answering
        await self.limits.close()


class LimitingPlanner(PlannerProgram):
    """A planner with a rate limit service, and a seat in the council, where there is one."""

    def __init__(self, told: Configuration, operator: Operator) -> None:
        assert operator.tiers is not None
        super().__init__(told, operator.tiers)
        self.limits = RateLimits(operator.ratelimit)
        self.core.gateway = self.limits.in_front_of(self.core.gateway, self.clock)
        if operator.council is not None:
            from embersill.council.chair import Chair  # with libraries that a planner does without

            self.chair = chair = Chair(operator.council, told.name, operator.tiers.secret, self.clock)
            chair.places, chair.leave_out = lambda: self.places, self.leave_out
            self.core.on_use, self.core.on_outcome = chair.used, chair.outcome
            self.server.before_said = chair.note

    def leave_out(self, backend: str, out: bool) -> None:
        self.core.hold(backend, out, self.clock())
        self.server.due()

    async def start(self) -> None:
        if self.chair is not None:
            await self.chair.start()
        await super().start()
        await self.limits.start(self, self.decide, self.perform)

    def decide(self, question: Question) -> Verdict:
        from embersill.ratelimit.server import Unavailable

        verdict = self.core.question(question, self.clock())
        if verdict is None:
            raise Unavailable("this planner does not lead the customer's part")
        self.server.flush()  # the forwarder that is to remember what was taken hears of it first
        return verdict

    def perform(self, actions: list[Action]) -> None:
        self.core.perform(actions, self.clock())
        self.server.due()

    async def stop(self) -> None:
        answering = asyncio.ensure_future(self.limits.stop_answering())
        await super().stop()
        await answering
        await self.limits.close()
        if self.chair is not None:
            await self.chair.stop()


async def run_operated(told: Configuration, path: str) -> None:
    """Runs what the operator file makes of this process, to its end."""
    operator = read_operator(path)
    try:
        if operator.ratelimit is not None:
            check_names(operator.ratelimit, told.settings)
    except ValueError as error:
        raise BadConfiguration(f"{path}: {error}") from error
    program: Program | PlannerProgram
    if operator.role == "planner":
        assert operator.tiers is not None
        program = LimitingPlanner(told, operator)
    elif operator.role == "forwarder":
        assert operator.tiers is not None
        if told.name not in operator.tiers.forwarders:
            raise BadConfiguration(
                f"{path}: tiers.forwarders: this forwarder, {json.dumps(told.name)}, is not among them"
            )
        program = ForwarderProgram(told, operator.tiers)
    elif operator.ratelimit is not None or operator.counting is not None:
        program = GatewayProgram(told, operator, path)
    else:
        program = Program(told)
    await program.run()
