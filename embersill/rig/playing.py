"""Plays a scenario on a deployment of processes, and judges the records of what clients and backends saw."""

from __future__ import annotations

import asyncio
import contextlib
import shutil
import signal
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import tomli_w

from embersill.rig.deployment import Deployment, Shape
from embersill.rig.scenarios import WAY_VERBS, FaultTable, Scenario, planned
from embersill.rig.standins import Behaviour
from embersill.world.oracles import Rules, judge
from embersill.world.records import Fault

RULES = (
    "answers_none",
    "answers_two",
    "answers_wrong",
    "unsafe_twice",
    "keyed_twice",
    "refused_after_run",
    "unknown_sent",
    "late_drain_sends",
    "ceiling_over_slack",
)
COUNCIL = """[council.export]
billing = "http://BILLING"
period = 60.0
[council.probes]
"""
HEALS = 1.0  # seconds after the last fault for which the traffic's end is waited for


def shape_of(scenario: Scenario, **changes: Any) -> Shape:
    """The deployment that a scenario describes."""
    told = scenario.shape
    shape = Shape(
        fronts=told.gateways or told.forwarders,
        planners=0 if told.gateways else told.planners,
        backends=told.backends,
        customers=told.customers,
        rate=scenario.rate,
        seed=scenario.seed,
        behaviour=Behaviour(0.01, 0.05),
        zones=dict(told.zones),
        relayed=told.relayed,
    )
    if told.council:
        shape.council_tables = COUNCIL
    if told.gateways:
        others = {"@forwarder", "@planner"}
        shape.relayed = tuple(way for way in told.relayed if not others & {*way.split(">")})
    for name, value in changes.items():
        setattr(shape, name, value)
    return shape


class Play:
    """One play of a scenario: its deployment, its faults, and what came of it."""

    def __init__(self, scenario: Scenario, deployment: Deployment) -> None:
        self.scenario, self.deployment = scenario, deployment
        self.faults: list[FaultTable] = []
        self.on: list[FaultTable] = []  # that hold now, for whoever looks on
        self.counts: Counter[str] = Counter()
        self.disks = 0

    async def run(self, meanwhile: Callable[[Deployment], Awaitable[None]] | None = None) -> dict[str, Any]:
        """Starts all, plays all, ends all; tells the figures. `meanwhile` runs beside the traffic."""
        deployment, loop = self.deployment, asyncio.get_running_loop()
        self.faults = planned(self.scenario, deployment.names, deployment.relayed())
        try:
            await deployment.start()
            began = loop.time()
            tasks = [asyncio.ensure_future(self.one(fault, began)) for fault in self.faults]
            if self.scenario.drain_every > 0:
                tasks.append(
                    asyncio.ensure_future(
                        deployment.drain_by_turns(self.scenario.drain_every, began + self.scenario.seconds)
                    )
                )
            if meanwhile is not None:
                tasks.append(asyncio.ensure_future(meanwhile(deployment)))
            await deployment.traffic.run(self.scenario.seconds)
            await asyncio.gather(*tasks)
            longest = max(c.deadline for c in deployment.settings.classes)
            await deployment.traffic.drained(longest + HEALS)
            codes = await deployment.stop()
        finally:
            deployment.close()
        return self.told(codes)

    def told(self, codes: dict[str, int]) -> dict[str, Any]:
        books = self.deployment.books
        rules = Rules(books.rule_terms(), lambda customer: customer)
        broken = judge(sorted(books.records, key=lambda record: record[0]), rules)
        told: dict[str, Any] = dict(books.figures())
        told["served_share"] = round(told["served"] / max(told["tries"], 1), 4)
        told["faults"] = dict(self.counts)
        told["bad_ends"] = {name: code for name, code in codes.items()}
        told["breaches"] = books.breaches[:10] + ([str(broken)] if broken is not None else [])
        return told

    # faults

    async def one(self, fault: FaultTable, began: float) -> None:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(max(began + fault.at - loop.time(), 0.0))
        self.counts[fault.what] += 1
        self.on.append(fault)
        for name in (*fault.who, *fault.ways):
            self.deployment.books.note(Fault(loop.time(), fault.what, name, fault.seconds))
        try:
            if fault.what in WAY_VERBS:
                await self.on_ways(fault)
            else:
                await asyncio.gather(*(self.on_process(fault, name) for name in fault.who))
        finally:
            self.on.remove(fault)

    async def on_ways(self, fault: FaultTable) -> None:
        ways = [way for name in fault.ways for way in self.deployment.relays_of(name)]
        laid = [(way, await way.add_fault(fault.trouble())) for way in ways]
        try:
            await asyncio.sleep(fault.seconds)
        finally:
            for way, number in laid:
                await way.remove_fault(number)

    async def on_process(self, fault: FaultTable, name: str) -> None:
        deployment = self.deployment
        member = deployment.members[name]
        if fault.what == "stop":
            await member.pause(fault.seconds)
        elif fault.what == "starve":
            await member.starve(fault.seconds, fault.share)
        elif fault.what == "clone":
            clone = await deployment.clone(name)
            await asyncio.sleep(fault.seconds)
            await clone.kill()
        elif member.running:
            front = next((front for front in deployment.fronts if front.name == name), None)
            if front is not None:
                front.up = False
            if fault.what == "restart":
                member.resume()
                member.send(signal.SIGTERM)
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(10.0):
                        await member.wait_exit()
            await member.kill()
            await asyncio.sleep(fault.seconds)
            self.disk(fault, name)
            await member.start()
            if front is not None:
                await deployment.wait_ready(front)

    def disk(self, fault: FaultTable, name: str) -> None:
        """What a process finds on its disk when it comes back."""
        state = self.deployment.state_of(name)
        if fault.disk == "keep" or not state.exists():
            return
        if fault.disk == "old":
            kept = state.with_name(f"{state.name}.old")
            if kept.exists():
                shutil.rmtree(state)
                shutil.copytree(kept, state)
        elif fault.disk == "empty":
            shutil.rmtree(state)
        else:
            for path in state.iterdir():
                with open(path, "r+b") as file:
                    size = file.seek(0, 2)
                    file.truncate(max(size - 5, 0))


def kept_text(scenario: Scenario, faults: list[FaultTable]) -> str:
    """A scenario with its drawn faults written out, as TOML: what is played again."""
    fixed = msgspec.structs.replace(scenario, drawn=[], faults=faults)
    return tomli_w.dumps(msgspec.to_builtins(fixed))


def owned(deployment: Deployment) -> dict[str, str]:
    """Which process holds which office, by the processes' own last words."""
    found: dict[str, str] = {}
    for member in deployment.members.values():
        for office in member.status.get("offices", []):
            if office["held"] and member.running:
                found[office["name"]] = f"{member.name} (no. {office['number']}, {office['left']:.1f} s)"
    return found
