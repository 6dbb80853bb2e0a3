"""Assembles the process that an operator file describes: its role, and its rate limit services if any."""

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

GRACE_S = 0.5  # for open rate limit calls after SIGTERM: the process may be killed 0.7 s after it

log = logging.getLogger("embersill")


def question_decider(
    handle: Callable[[Event, float], list[Action]],
    clock: Callable[[], float],
    perform: Callable[[list[Action]], None],
) -> Callable[[Question], Verdict]:
    """A function that has a question decided, and performs the other actions at once."""

    def decide(question: Question) -> Verdict:
        actions = handle(question, clock())
        verdicts = [a for a in actions if isinstance(a, Verdict)]
        perform([a for a in actions if not isinstance(a, Verdict)])
        return verdicts[0]

    return decide


class RateLimits:
    """A process's part in rate limiting: the service that it offers, and the client of those that it asks."""

    def __init__(self, table: RateLimitTable | None) -> None:
        self.table = table
        self.server: Any = None
        self.client: Any = None

    def decider_for(self, gateway: Gateway, clock: Callable[[], float]) -> Any:
        """The decider to use: the gateway itself, or one that first asks rate limit services."""
        if self.table is None or self.table.ask is None:
            return gateway
        from embersill.ratelimit.client import AskingGateway

        self.client = AskingGateway(gateway, self.table.ask, clock)
        return self.client

    async def start(
        self,
        program: Program | PlannerProgram,
        decide: Callable[[Question], Verdict],
        perform: Callable[[list[Action]], None],
    ) -> None:
        """Connects the client to the program, and starts the service."""
        if self.client is not None:
            self.client.perform = perform
        if self.table is not None and self.table.answer is not None:
            from embersill.ratelimit.answering import Answering
            from embersill.ratelimit.server import RateLimitServer

            answering = Answering(self.table.answer, program.settings, decide)
            self.server = RateLimitServer(self.table.answer, answering)
            await self.server.start()

    async def stop_answering(self) -> None:
        """Stops the service, within GRACE_S."""
        if self.server is not None:
            await self.server.stop(GRACE_S)

    async def close(self) -> None:
        """Closes the client."""
        if self.client is not None:
            await self.client.close()


class GatewayProgram(Program):
    """The single-tier gateway with a rate limit service, or with a keeper for its counters."""

    def __init__(self, config: Configuration, operator: Operator, path: str = "") -> None:
        clock = start_clock()
        self.limits = RateLimits(operator.ratelimit)
        self.path = path
        kept = operator.counting is not None and config.counter is not None
        gateway = Gateway(config.settings, config.seed, clock(), repays=kept)
        decider: Decider = self.limits.decider_for(gateway, clock)
        super().__init__(config, clock, decider, counts=not kept)
        self.clock = clock
        self.counting: Counting | None = None
        if kept:
            assert operator.counting is not None and config.counter is not None
            places = operator.counting.counters or [f"{config.counter[0]}:{config.counter[1]}"]
            keeper = Keeper(operator.counting.terms, config.settings.me, config.settings.gateways, places)
            self.counting = self.driver.counter = Counting(
                keeper,
                clock,
                config.settings.counter_patience,
                config.limits.dial_timeout,
                self.driver.on_counted,
            )

    async def start(self) -> None:
        """Starts the gateway between its counters and its rate limit service."""
        if self.counting is not None:
            self.counting.start()
        await super().start()
        perform = self.driver.perform
        await self.limits.start(
            self, question_decider(self.driver.gateway.handle, self.clock, perform), perform
        )

    def reload(self) -> None:
        """Uses the counters that the operator file names now; if it names none, the platform's counter."""
        if self.counting is None:
            return super().reload()
        try:
            named = read_operator(self.path).counting
        except BadConfiguration as error:
            return log.warning("the counters stay as they were: %s", error)
        super().reload()  # moves to the platform's counter, if that has changed
        if named is not None and named.counters:
            self.counting.move_all(named.counters)
        return None

    async def stop(self, still_coming: float | None = None, all_answered: float | None = None) -> None:
        """Stops the gateway, and answers open rate limit calls meanwhile."""
        if self.counting is not None:
            self.counting.leave()
        answering = asyncio.ensure_future(self.limits.stop_answering())
        await super().stop(*(x for x in (still_coming, all_answered) if x is not None))
        await answering
        await self.limits.close()


class LimitingPlanner(PlannerProgram):
    """A planner with a rate limit service and, where there is a council, a membership of it."""

    def __init__(self, config: Configuration, operator: Operator) -> None:
        assert operator.tiers is not None
        super().__init__(config, operator.tiers)
        self.limits = RateLimits(operator.ratelimit)
        self.core.gateway = self.limits.decider_for(self.core.gateway, self.clock)
        if operator.council is not None:
            # imports libraries that other planners don't need
            from embersill.council.service import CouncilService

            self.chair = service = CouncilService(
                operator.council, config.name, operator.tiers.secret, self.clock
            )
            service.backend_addresses, service.leave_out = lambda: self.places, self.leave_out
            self.core.on_use, self.core.on_outcome = service.on_use, service.on_outcome
            self.server.before_said = service.note_usage

    def leave_out(self, backend: str, out: bool) -> None:
        """Takes a backend out of use, or puts it back."""
        self.core.hold(backend, out, self.clock())
        self.server.due()

    async def start(self) -> None:
        """Starts the council's member, the planner and the rate limit service, in this order."""
        if self.chair is not None:
            await self.chair.start()
        await super().start()
        await self.limits.start(self, self.decide, self.perform)

    def decide(self, question: Question) -> Verdict:
        """Decides a question; Unavailable where another planner leads the customer's part."""
        from embersill.ratelimit.server import Unavailable

        verdict = self.core.question(question, self.clock())
        if verdict is None:
            raise Unavailable("this planner does not lead the customer's part")
        self.server.flush()  # first sends what was taken to the forwarder that has to remember it
        return verdict

    def perform(self, actions: list[Action]) -> None:
        """Performs the actions that came with a decision."""
        self.core.perform(actions, self.clock())
        self.server.due()

    async def stop(self) -> None:
        """Stops the planner, and answers open rate limit calls meanwhile."""
        answering = asyncio.ensure_future(self.limits.stop_answering())
        await super().stop()
        await answering
        await self.limits.close()
        if self.chair is not None:
            await self.chair.stop()


async def run_operated(config: Configuration, path: str) -> None:
    """Runs the process that the operator file describes until it ends."""
    operator = read_operator(path)
    try:
        if operator.ratelimit is not None:
            check_names(operator.ratelimit, config.settings)
    except ValueError as error:
        raise BadConfiguration(f"{path}: {error}") from error
    program: Program | PlannerProgram
    if operator.role == "planner":
        assert operator.tiers is not None
        program = LimitingPlanner(config, operator)
    elif operator.role == "forwarder":
        assert operator.tiers is not None
        if config.name not in operator.tiers.forwarders:
            raise BadConfiguration(
                f"{path}: tiers.forwarders: this forwarder, {json.dumps(config.name)}, is not among them"
            )
        program = ForwarderProgram(config, operator.tiers)
    elif operator.ratelimit is not None or operator.counting is not None:
        program = GatewayProgram(config, operator, path)
    else:
        program = Program(config)
    await program.run()
