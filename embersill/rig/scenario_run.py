"""Runs a scenario on a deployment of processes, and judges the records of what clients and backends saw."""

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
from embersill.rig.scenarios import LINK_FAULT_KINDS, FaultTable, Scenario, plan_faults
from embersill.rig.standins import BackendBehaviour
from embersill.world.oracles import Rules, first_violation
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
COUNCIL_TABLES = """[council.export]
billing = "http://BILLING"
period = 60.0
[council.probes]
"""
SETTLE_TIME_S = 1.0  # beyond the longest deadline, for the last requests to end


def shape_of(scenario: Scenario, **changes: Any) -> Shape:
    """The deployment that a scenario describes; `changes` override its fields."""
    table = scenario.shape
    shape = Shape(
        fronts=table.gateways or table.forwarders,
        planners=0 if table.gateways else table.planners,
        backends=table.backends,
        customers=table.customers,
        rate=scenario.rate,
        seed=scenario.seed,
        behaviour=BackendBehaviour(0.01, 0.05),
        zones=dict(table.zones),
        relayed=table.relayed,
    )
    if table.council:
        shape.council_tables = COUNCIL_TABLES
    if table.gateways:
        absent_roles = {"@forwarder", "@planner"}
        shape.relayed = tuple(link for link in table.relayed if not absent_roles & {*link.split(">")})
    for name, value in changes.items():
        setattr(shape, name, value)
    return shape


class ScenarioRun:
    """One run of a scenario: its deployment, its faults and the result."""

    def __init__(self, scenario: Scenario, deployment: Deployment) -> None:
        self.scenario, self.deployment = scenario, deployment
        self.faults: list[FaultTable] = []
        self.active_faults: list[FaultTable] = []  # for a live display
        self.counts: Counter[str] = Counter()
        self.disks = 0

    async def run(self, meanwhile: Callable[[Deployment], Awaitable[None]] | None = None) -> dict[str, Any]:
        """Starts the deployment, runs traffic and faults, stops it and returns the figures.

        `meanwhile` runs beside the traffic.
        """
        deployment, loop = self.deployment, asyncio.get_running_loop()
        self.faults = plan_faults(self.scenario, deployment.topology, deployment.relayed())
        try:
            await deployment.start()
            began = loop.time()
            tasks = [asyncio.ensure_future(self.run_fault(fault, began)) for fault in self.faults]
            if self.scenario.drain_every > 0:
                tasks.append(
                    asyncio.ensure_future(
                        deployment.drain_in_rotation(self.scenario.drain_every, began + self.scenario.seconds)
                    )
                )
            if meanwhile is not None:
                tasks.append(asyncio.ensure_future(meanwhile(deployment)))
            await deployment.traffic.run(self.scenario.seconds)
            await asyncio.gather(*tasks)
            longest = max(c.deadline for c in deployment.settings.classes)
            await deployment.traffic.wait_answered(longest + SETTLE_TIME_S)
            codes = await deployment.stop()
        finally:
            deployment.close()
        return self.result(codes)

    def result(self, codes: dict[str, int]) -> dict[str, Any]:
        """Figures of the run with the rules judged; `codes`: exit codes of processes that failed."""
        audit = self.deployment.audit
        rules = Rules(audit.rule_terms(), lambda customer: customer)
        breach = first_violation(sorted(audit.records, key=lambda record: record[0]), rules)
        result: dict[str, Any] = dict(audit.figures())
        result["served_share"] = round(result["served"] / max(result["tries"], 1), 4)
        result["faults"] = dict(self.counts)
        result["bad_ends"] = {name: code for name, code in codes.items()}
        result["breaches"] = audit.breaches[:10] + ([str(breach)] if breach is not None else [])
        return result

    # faults

    async def run_fault(self, fault: FaultTable, began: float) -> None:
        """Waits for a fault's time, records it and applies it for its duration."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(max(began + fault.at - loop.time(), 0.0))
        self.counts[fault.what] += 1
        self.active_faults.append(fault)
        for name in (*fault.who, *fault.ways):
            self.deployment.audit.add_record(Fault(loop.time(), fault.what, name, fault.seconds))
        try:
            if fault.what in LINK_FAULT_KINDS:
                await self.apply_link_fault(fault)
            else:
                await asyncio.gather(*(self.apply_process_fault(fault, name) for name in fault.who))
        finally:
            self.active_faults.remove(fault)

    async def apply_link_fault(self, fault: FaultTable) -> None:
        """Adds the fault to its links' relays and removes it after its duration."""
        relays = [relay for name in fault.ways for relay in self.deployment.relays_of(name)]
        added = [(relay, await relay.add_fault(fault.link_fault())) for relay in relays]
        try:
            await asyncio.sleep(fault.seconds)
        finally:
            for relay, fault_id in added:
                await relay.remove_fault(fault_id)

    async def apply_process_fault(self, fault: FaultTable, name: str) -> None:
        """Stops, starves, clones, kills or restarts one process."""
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
        """Changes the state directory of a stopped process as the fault asks, before it starts again."""
        state = self.deployment.state_dir(name)
        if fault.disk == "keep" or not state.exists():
            return
        if fault.disk == "old":
            saved = state.with_name(f"{state.name}.old")
            if saved.exists():
                shutil.rmtree(state)
                shutil.copytree(saved, state)
        elif fault.disk == "empty":
            shutil.rmtree(state)
        else:
            for path in state.iterdir():
                with open(path, "r+b") as file:
                    size = file.seek(0, 2)
                    file.truncate(max(size - 5, 0))


def scenario_text(scenario: Scenario, faults: list[FaultTable]) -> str:
    """A scenario as TOML with its drawn faults written out, to run the same faults again."""
    fixed = msgspec.structs.replace(scenario, drawn=[], faults=faults)
    return tomli_w.dumps(msgspec.to_builtins(fixed))


def office_holders(deployment: Deployment) -> dict[str, str]:
    """Which process holds which office, by the processes' latest status reports."""
    holders: dict[str, str] = {}
    for member in deployment.members.values():
        for office in member.status.get("offices", []):
            if office["held"] and member.running:
                holders[office["name"]] = f"{member.name} (no. {office['number']}, {office['left']:.1f} s)"
    return holders
