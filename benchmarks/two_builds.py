"""Two builds beside one another: `python -m benchmarks.two_builds OLD NEW [--only PLAY]`. Prints JSON.

OLD and NEW are checkouts. Their gateways, forwarders and planners run as processes on loopback, each from its
own checkout; backends, clients and the operator belong to the checkout that this module is started from. It
shows that each build reads what the other one stored, and understands what the other one sends:

- `state`: gateways of one build store a configuration, a change, an order about a tenant and a staged policy;
  those of the other build start on their folders and answer the same;
- `mixed`: three gateways of one build and two of the other elect, take a change on either side, serve, drain
  backends and end in order;
- `council`: planners of the other build continue on the council's journals, and use is exported once;
- `tiers`: forwarders of one build with planners of the other break no rule.

Exit status 1 if a check failed.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import hashlib
import json
import os
import signal
import sys
import tempfile
from collections.abc import Awaitable, Callable, Mapping
from pathlib import Path
from typing import Any

import uvloop

from embersill.rig.deployment import Deployment, Shape
from embersill.rig.gateway_cluster import CORE_GATEWAYS, Backend, GatewayCluster
from embersill.rig.ownership import judge_billing, wait_exported, wait_owner, wait_writer
from embersill.rig.processes import Member
from embersill.rig.scenario_run import COUNCIL_TABLES, RULES
from embersill.rig.standins import BackendBehaviour

GATEWAYS = 5
PLAY_TIMEOUT_S = 120.0
APPLY_TIMEOUT_S = 15.0
TRAFFIC_S = 8.0  # of each phase of a play with forwarders and planners
POLL_INTERVAL_S = 0.05
LAPSE = {
    "action": "start",
    "by": "two_builds",
    "ladder": [{"share": 0.5, "lasts_s": 3600.0}, {"share": 0.0}],
    "usual_per_s": 20.0,
}
ROLLOUT = {
    "action": "start",
    "by": "two_builds",
    "policy": {"name": "shorter waits", "wait_share": 0.2},
    "sites": {
        zone: {"zones": [zone], "core": 1, "asks": {"ask": 10.0, "order": 10.0}}
        for zone in ("north", "south", "east")
    },
    "watch_s": 3600.0,
}
STORED_PATHS = ("/api/configuration", "/api/lapses", "/api/rollout")


def environment_of(checkout: Path) -> dict[str, str]:
    """Variables with which Python runs a checkout's package instead of this one."""
    return {"PYTHONPATH": str(checkout), "PYTHONSAFEPATH": "1"}


def digest(document: Any) -> str:
    """A short digest of a JSON document, whatever the order of its keys."""
    return hashlib.sha256(json.dumps(document, sort_keys=True).encode()).hexdigest()[:16]


class Checks:
    """The checks of a run by name, each true or false, with what was seen."""

    def __init__(self) -> None:
        self.results: dict[str, bool] = {}
        self.seen: dict[str, Any] = {}

    def expect(self, name: str, passed: bool, seen: Any = None) -> None:
        """Notes one check."""
        self.results[name] = passed
        if seen is not None:
            self.seen[name] = seen


class BuildsCluster(GatewayCluster):
    """A system whose gateways are of several builds."""

    def __init__(self, folder: Path, builds: list[Path], new_system: bool = True) -> None:
        """`builds`: the checkout of each gateway. `new_system`: the folders are empty."""
        self.builds, self.new_system = builds, new_system
        tenants = {"t": (200.0, 200.0), "u": (200.0, 200.0)}
        super().__init__(folder, len(builds), tenants=tenants, make_backend=self.new_backend)

    def new_backend(self, cluster: GatewayCluster, number: int) -> Backend:
        """A backend under an id that no earlier system on these folders has seen."""
        made = Backend(cluster, number)
        made.name = f"i-{'first' if self.new_system else 'second'}-{number}"
        return made

    async def __aenter__(self) -> BuildsCluster:
        await super().__aenter__()
        return self

    def make_process(self, number: int) -> Member:
        """A gateway's process, of its own build."""
        made = super().make_process(number)
        made.environ.update(environment_of(self.builds[number]))
        return made

    def write_settings(self, number: int, first: bool) -> Path:
        """A gateway's settings; on folders that were written before it is not the system's first start."""
        return super().write_settings(number, first and self.new_system)

    async def wait_ready(self) -> None:
        """Waits until all gateways are ready; brings the first configuration only to a new system."""
        if self.new_system:
            return await super().wait_ready()
        async with asyncio.timeout(APPLY_TIMEOUT_S):
            for number in range(self.size):
                while not await self.is_ready(number):
                    await asyncio.sleep(POLL_INTERVAL_S)
        return None

    async def send_until_taken(self, gateway: int, method: str, path: str, body: Any) -> int:
        """Sends a call of control until it has a clear answer; its status."""
        async with asyncio.timeout(APPLY_TIMEOUT_S):
            while True:
                status, _ = await self.control(gateway, method, path, body)
                if status and status < 500:
                    return status
                await asyncio.sleep(POLL_INTERVAL_S)

    async def change(self, gateway: int, version: int, based_on: int) -> int:
        """Adds a route by a change at one gateway; the status of the answer."""
        route = {**self.configuration()["routes"]["ask"], "path_prefix": f"/added{version}/"}
        body = {
            "version": f"{version:08x}",
            "based_on_version": f"{based_on:08x}",
            "upsert_items": {"routes": {f"added{version}": route}},
            "remove_names": {},
        }
        return await self.send_until_taken(gateway, "PATCH", "/api/configuration", body)

    async def read(self, gateway: int) -> dict[str, Any]:
        """What a gateway answers for all that is stored, by path; an answer that does not come is missing.

        Without what a restart changes by itself: who holds the duties, and the number of that change.
        """
        found = {}
        for path in STORED_PATHS:
            status, answer = await self.control(gateway, "GET", path)
            if status == 200:
                kept = {name: value for name, value in answer.items() if name != "holder"}
                found[path] = kept.get("orders") if path == "/api/lapses" else kept
        return found

    async def read_everywhere(self) -> list[dict[str, Any]]:
        """What all gateways answer, once it is the same, or at the end of the time for that."""
        found: list[dict[str, Any]] = []
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(APPLY_TIMEOUT_S):
                while not found or any(answers != found[0] for answers in found):
                    found = [await self.read(number) for number in range(self.size)]
        return found

    async def wait_version(self, version: int) -> bool:
        """Whether all gateways have a version in force within the time for that."""
        try:
            async with asyncio.timeout(APPLY_TIMEOUT_S):
                for number in range(self.size):
                    while (await self.version_at(number)) != f"{version:08x}":
                        await asyncio.sleep(POLL_INTERVAL_S)
        except TimeoutError:
            return False
        return True

    async def version_at(self, gateway: int) -> str:
        """The version that a gateway has in force, empty if it doesn't answer."""
        status, answer = await self.control(gateway, "GET", "/api/status")
        return str(answer["version"]) if status == 200 else ""

    async def wait_served(self) -> None:
        """Until each gateway serves: backends have to be known there first. TimeoutError if one does not."""
        async with asyncio.timeout(APPLY_TIMEOUT_S):
            while set(await self.serve_everywhere()) != {200}:
                await asyncio.sleep(POLL_INTERVAL_S)

    async def serve_everywhere(self) -> list[int]:
        """Statuses of a request of each kind at each gateway."""
        answers = [
            await self.send_request("u", number, route)
            for number in range(self.size)
            for route in ("ask", "order")
        ]
        return [answer.status for answer in answers]

    async def end_in_order(self) -> list[int]:
        """Ends all gateways with SIGTERM; their exit codes."""
        for gateway in self.gateways:
            gateway.send(signal.SIGTERM)
        return [await gateway.wait_exit() for gateway in self.gateways]


async def play_state(checks: Checks, label: str, writer: Path, reader: Path) -> None:
    """One build writes the folders of a system, the other one starts on them."""
    with tempfile.TemporaryDirectory(prefix="two-builds-") as folder:
        async with BuildsCluster(Path(folder), [writer] * GATEWAYS) as cluster:
            checks.expect(f"{label}: change taken", await cluster.change(3, 3, 1) == 200)
            lapse = await cluster.send_until_taken(4, "PUT", "/api/lapses/t", LAPSE)
            checks.expect(f"{label}: order taken", lapse == 200, lapse)
            rollout = await cluster.send_until_taken(2, "PUT", "/api/rollout", ROLLOUT)
            checks.expect(f"{label}: staged policy taken", rollout == 200, rollout)
            pause = {"action": "pause", "by": "two_builds"}
            checks.expect(
                f"{label}: staged policy paused",
                await cluster.send_until_taken(2, "PUT", "/api/rollout", pause) == 200,
            )
            checks.expect(f"{label}: in force at the writer's", await cluster.wait_version(3))
            await asyncio.sleep(1.0)
            before = await cluster.read(0)
            checks.expect(
                f"{label}: the writer ends in order", await cluster.end_in_order() == [0] * GATEWAYS
            )
        async with BuildsCluster(Path(folder), [reader] * GATEWAYS, new_system=False) as cluster:
            checks.expect(f"{label}: in force at the reader's", await cluster.wait_version(3))
            after = await cluster.read_everywhere()
            digests = [{path: digest(body) for path, body in found.items()} for found in (before, *after)]
            same = all(found == digests[0] for found in digests) and set(digests[0]) == set(STORED_PATHS)
            stored = before["/api/lapses"] and before["/api/rollout"]["run"]
            checks.expect(f"{label}: same version, orders and policy", same and bool(stored), digests)
            checks.expect(f"{label}: changes go on", await cluster.change(1, 5, 3) == 200)
            await cluster.wait_served()
            statuses = await cluster.serve_everywhere()
            checks.expect(f"{label}: served", set(statuses) == {200}, statuses)
            checks.expect(
                f"{label}: the reader ends in order", await cluster.end_in_order() == [0] * GATEWAYS
            )


async def play_mixed(checks: Checks, label: str, most: Path, others: Path) -> None:
    """Three gateways of one build and two of the other, of each some with a disk and some without."""
    builds = [most, most, others, others, most]
    with tempfile.TemporaryDirectory(prefix="two-builds-") as folder:
        async with BuildsCluster(Path(folder), builds) as cluster:
            status = (await cluster.control(4, "GET", "/api/status"))[1]
            members = sorted(status["members"])
            checks.expect(f"{label}: elected", members == [f"g{n}" for n in range(CORE_GATEWAYS)], members)
            for version, gateway in ((3, 3), (5, 4), (7, 2), (9, 0)):
                taken = await cluster.change(gateway, version, version - 2)
                checks.expect(f"{label}: change taken by g{gateway}", taken == 200, taken)
                checks.expect(
                    f"{label}: in force everywhere, from g{gateway}", await cluster.wait_version(version)
                )
            for gateway in (3, 4):  # without a disk: the order and its answer go through a member
                body = {**LAPSE, "by": f"g{gateway}"}
                taken = await cluster.send_until_taken(
                    gateway, "PUT", f"/api/lapses/{'tu'[gateway - 3]}", body
                )
                checks.expect(f"{label}: order by way of g{gateway}", taken == 200, taken)
                restore = {"action": "restore", "by": "two_builds"}
                await cluster.send_until_taken(
                    7 - gateway, "PUT", f"/api/lapses/{'tu'[gateway - 3]}", restore
                )
            read = {digest(found) for found in await cluster.read_everywhere()}
            checks.expect(f"{label}: all read the same", len(read) == 1, sorted(read))
            statuses = await cluster.serve_everywhere()
            checks.expect(f"{label}: served", set(statuses) == {200}, statuses)
            await drain_backends(checks, label, cluster)
            codes = await cluster.end_in_order()
            checks.expect(f"{label}: all end in order", codes == [0] * GATEWAYS, codes)


async def drain_backends(checks: Checks, label: str, cluster: BuildsCluster) -> None:
    """A backend leaves at a gateway of either build; no gateway sends it anything after a while."""
    for backend, gateway in zip(cluster.backends, (1, 3), strict=False):
        backend.heartbeat_task.cancel()
        async with asyncio.timeout(APPLY_TIMEOUT_S):
            while not await backend.report_state(gateway, "draining"):
                await asyncio.sleep(POLL_INTERVAL_S)
        await asyncio.sleep(1.0)
        ran = sum(backend.run_counts.values())
        statuses = [status for _ in range(4) for status in await cluster.serve_everywhere()]
        checks.expect(
            f"{label}: drained at g{gateway}",
            set(statuses) == {200} and sum(backend.run_counts.values()) == ran,
            sorted(set(statuses)),
        )


class BuildsDeployment(Deployment):
    """A deployment of forwarders and planners whose roles are of several builds."""

    def __init__(self, shape: Shape, builds: Mapping[str, Path]) -> None:
        """`builds`: the checkout by role."""
        super().__init__(shape)
        self.builds = dict(builds)

    async def add_process(self, name: str, role: str, port: int, config: str = "") -> None:
        """A further process, of its role's build."""
        await super().add_process(name, role, port, config)
        self.members[config or name].environ.update(environment_of(self.builds[role]))


async def play_deployment(
    checks: Checks,
    label: str,
    builds: Mapping[str, Path],
    council: bool,
    between: Callable[[BuildsDeployment], Awaitable[None]],
) -> None:
    """Traffic over forwarders and planners; `between` is called in the middle of it."""
    deployment = BuildsDeployment(
        Shape(
            fronts=2,
            planners=3,
            backends=4,
            customers=12,
            rate=60.0,
            status_every=0.05,
            behaviour=BackendBehaviour(0.01, 0.03),
            council_tables=COUNCIL_TABLES if council else "",
        ),
        builds,
    )
    try:
        await deployment.start()
        traffic = asyncio.create_task(deployment.traffic.run(PLAY_TIMEOUT_S))
        await asyncio.sleep(TRAFFIC_S)
        await between(deployment)
        await asyncio.sleep(TRAFFIC_S)
        traffic.cancel()
        await deployment.traffic.wait_answered(8.0)
        if council:
            await wait_owner(deployment, "export")
            await wait_exported(deployment)
        codes = await deployment.stop()
    finally:
        deployment.close()
    figures = deployment.audit.figures()
    broken = {rule: figures[rule] for rule in RULES if figures[rule]}
    checks.expect(f"{label}: no rule broken", not broken, broken)
    checks.expect(f"{label}: ends in order", not codes, codes)
    served = round(figures["served"] / max(figures["tries"], 1.0), 3)
    checks.expect(f"{label}: serves", figures["served"] > 0.5 * figures["tries"], served)
    if council:
        judged = judge_billing(deployment.billing)
        once = judged["owners_at_once_most"] == 1 and not judged["exported_twice"]
        in_order = not judged["exported_out_of_order"] and not judged["late_effects_taken"]
        checks.expect(f"{label}: use exported once, in order", once and in_order, judged)


async def play_council(checks: Checks, label: str, writer: Path, reader: Path) -> None:
    """Planners of one build end, and those of the other continue on their journals."""

    async def replace(deployment: BuildsDeployment) -> None:
        await wait_writer(deployment)
        highest = deployment.billing.highest_number
        planners = deployment.planners()
        for planner in planners:
            planner.send(signal.SIGTERM)
        for planner in planners:
            await planner.wait_exit()
            planner.environ.update(environment_of(reader))
        await asyncio.gather(*(planner.start() for planner in planners))
        async with asyncio.timeout(APPLY_TIMEOUT_S):
            while not all(planner.status.get("council", {}).get("votes") for planner in planners):
                await asyncio.sleep(POLL_INTERVAL_S)
        learned = {planner.name: planner.status["council"]["learned"] for planner in planners}
        checks.expect(f"{label}: journals read", not any(learned.values()), learned)
        await wait_writer(deployment)
        checks.expect(f"{label}: the number grows", deployment.billing.highest_number > highest)

    await play_deployment(checks, label, {"forwarder": writer, "planner": writer}, True, replace)


async def play_tiers(checks: Checks, label: str, forwarders: Path, planners: Path) -> None:
    """Forwarders of one build under planners of the other, of which one is killed."""

    async def kill_one(deployment: BuildsDeployment) -> None:
        await deployment.kill_and_restart(deployment.planners()[0], 0.5)

    await play_deployment(checks, label, {"forwarder": forwarders, "planner": planners}, False, kill_one)


PLAYS: dict[str, Callable[[Checks, str, Path, Path], Awaitable[None]]] = {
    "state": play_state,
    "mixed": play_mixed,
    "council": play_council,
    "tiers": play_tiers,
}


async def play_all(checks: Checks, old: Path, new: Path, names: list[str]) -> None:
    """Plays each in both directions; one that raises has failed, and the next is played."""
    for name in names:
        for way, first, second in (("old, new", old, new), ("new, old", new, old)):
            label = f"{name} ({way})"
            try:
                async with asyncio.timeout(PLAY_TIMEOUT_S):
                    await PLAYS[name](checks, label, first, second)
                checks.expect(f"{label}: played", True)
            except Exception as error:
                checks.expect(f"{label}: played", False, f"{type(error).__name__}: {error}")


def main() -> int:
    """Plays what was asked for; 1 if a check failed."""
    parser = argparse.ArgumentParser(prog="benchmarks.two_builds", description=(__doc__ or "").split("\n")[0])
    parser.add_argument("old", type=Path, metavar="OLD", help="a checkout")
    parser.add_argument("new", type=Path, metavar="NEW", help="another one")
    parser.add_argument("--only", choices=sorted(PLAYS), action="append", help="these plays alone")
    options = parser.parse_args()
    builds = [checkout.resolve() for checkout in (options.old, options.new)]
    for checkout in builds:
        if not (checkout / "embersill" / "edge").is_dir():
            parser.error(f"{checkout}: no checkout of embersill")
    os.environ.pop("PYTHONPATH", None)
    checks = Checks()
    uvloop.run(play_all(checks, builds[0], builds[1], options.only or list(PLAYS)))
    failed = sorted(name for name, passed in checks.results.items() if not passed)
    print(json.dumps({"checks": len(checks.results), "failed": failed, "seen": checks.seen}, indent=1))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
