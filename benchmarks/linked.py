"""What a member of the core costs with many gateways linked over sockets: real members, hollow gateways.

`python -m benchmarks.linked [--sizes 30 100 300 1000] [--processes 4]` starts three members of the core as
processes on loopback, and hollow gateways that share a few processes (`benchmarks.linked_gateways`): each has
an address, the deciding parts and the links of a real one, without clients. For each size it tells what the
members spend in calm times, how long a change takes until it is in force at every gateway, and how long a
member that was killed takes until all are linked to it again. All run on one machine and share its
processors, so times are upper figures.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from benchmarks.linked_gateways import Report
from embersill.rig.gateway_cluster import CORE_GATEWAYS, GatewayCluster
from embersill.rig.processes import processor_time, resident_kb

SIZES = (30, 100, 300, 1000)
PROCESSES = 4
CALM_SECONDS = 8.0  # in which the members' processor time is taken
SETTLED_SECONDS = 3.0  # after all are linked
CHANGES = 5  # of the configuration, one after the other
WITHIN = 60.0  # seconds for gateways to link, or to have a version
LOOK_EVERY = 0.02  # seconds


@dataclass(frozen=True, slots=True)
class Measured:
    """One size. Processor time is a share of a core, memory in bytes, times in seconds."""

    gateways: int
    member_processor: float  # mean over the members
    member_memory: float
    member_descriptors: float
    linking: float  # from the start of the hollow processes until each gateway has all links
    change_p50: float  # from the operator's call until a change is in force at half of the gateways
    change_all: float  # at all of them, the slowest of the changes
    member_back: float  # from the start of a killed member until all gateways are linked to it


class Gateways:
    """The hollow gateways of one run, in several processes that report what theirs have."""

    def __init__(self, system: GatewayCluster, count: int, processes: int) -> None:
        self.system, self.count, self.processes = system, count, processes
        self.running: list[asyncio.subprocess.Process] = []
        self.readers: list[asyncio.Task[None]] = []
        self.reports: dict[int, Report] = {}  # the latest of each process
        self.versions: dict[int, dict[int, list[float]]] = {}  # by process and version: when each had it

    async def start(self) -> None:
        """Starts the processes, each with its part of the gateways."""
        for number in range(self.processes):
            first = number * self.count // self.processes
            part = (number + 1) * self.count // self.processes - first
            command = [sys.executable, "-m", "benchmarks.linked_gateways", str(first), str(part)]
            command += [
                str(self.system.ports[3]),
                *(self.system.ip(member) for member in range(CORE_GATEWAYS)),
            ]
            process = await asyncio.create_subprocess_exec(*command, stdout=asyncio.subprocess.PIPE)
            self.running.append(process)
            self.readers.append(asyncio.create_task(self.read(number, process)))

    async def read(self, number: int, process: asyncio.subprocess.Process) -> None:
        """Notes what a process reports."""
        assert process.stdout is not None
        while line := await process.stdout.readline():
            report = Report.read(line)
            self.reports[number] = report
            had = self.versions.setdefault(number, {})
            for version, times in report.versions.items():
                had.setdefault(version, []).extend(times)

    def had(self, version: int) -> list[float]:
        """When each gateway that has a version had it in force."""
        return sorted(at for had in self.versions.values() for at in had.get(version, ()))

    @property
    def links(self) -> int:
        """Links to members that all gateways have together."""
        return sum(report.links for report in self.reports.values())

    async def stop(self) -> None:
        """Ends the processes."""
        for process in self.running:
            process.terminate()
        await asyncio.gather(*(process.wait() for process in self.running), *self.readers)


async def until(true: Callable[[], bool]) -> None:
    """TimeoutError where it does not come true."""
    async with asyncio.timeout(WITHIN):
        while not true():
            await asyncio.sleep(LOOK_EVERY)


def descriptors(pid: int) -> int:
    """Descriptors that a process has open."""
    return len(os.listdir(f"/proc/{pid}/fd"))


@asynccontextmanager
async def cluster(count: int, processes: int) -> AsyncIterator[tuple[GatewayCluster, Gateways]]:
    """Three members with a configuration in force, and hollow gateways that are being started."""
    with tempfile.TemporaryDirectory(prefix="embersill-linked-") as folder:
        async with GatewayCluster(Path(folder), size=CORE_GATEWAYS, backends=3) as system:
            gateways = Gateways(system, count, processes)
            try:
                await gateways.start()
                yield system, gateways
            finally:
                await gateways.stop()


async def calm(system: GatewayCluster) -> tuple[float, float, float]:
    """A member's share of a core, bytes of memory and descriptors, mean over the members."""
    pids = [member.process.pid for member in system.gateways if member.process is not None]
    before = [sum(processor_time(pid)) for pid in pids]
    began = time.monotonic()
    await asyncio.sleep(CALM_SECONDS)
    took = time.monotonic() - began
    spent = [sum(processor_time(pid)) - earlier for pid, earlier in zip(pids, before, strict=True)]
    memory = sum(resident_kb(pid) * 1024 for pid in pids) / len(pids)
    return sum(spent) / len(pids) / took, memory, sum(map(descriptors, pids)) / len(pids)


async def change(system: GatewayCluster, gateways: Gateways, version: int) -> tuple[float, float]:
    """Seconds from an operator's call until its change is in force at half of the gateways, and at all."""
    began = time.monotonic()
    body = system.configuration(version, version - 1)
    status, told = await system.control(version % CORE_GATEWAYS, "PUT", "/api/configuration", body)
    if status != 200:
        raise RuntimeError(f"version {version} was answered {status}: {told}")
    await until(lambda: len(gateways.had(version)) == gateways.count)
    times = gateways.had(version)
    return times[len(times) // 2] - began, times[-1] - began


async def member_back(system: GatewayCluster, gateways: Gateways) -> float:
    """Seconds from the start of a member that was killed until all gateways are linked to it."""
    member = system.gateways[-1]
    await member.kill()
    await until(lambda: gateways.links == gateways.count * (CORE_GATEWAYS - 1))
    began = time.monotonic()
    await member.start()
    await until(lambda: gateways.links == gateways.count * CORE_GATEWAYS)
    return time.monotonic() - began


async def measure(count: int, processes: int) -> Measured:
    """One size of the cluster."""
    async with cluster(count, processes) as (system, gateways):
        began = time.monotonic()
        await until(lambda: gateways.links == count * CORE_GATEWAYS)
        linking = time.monotonic() - began
        await asyncio.sleep(SETTLED_SECONDS)
        processor, memory, open_files = await calm(system)
        changes = [await change(system, gateways, version) for version in range(2, 2 + CHANGES)]
        halves = sorted(half for half, _ in changes)
        slowest = max(everywhere for _, everywhere in changes)
        back = await member_back(system, gateways)
    middle = halves[len(halves) // 2]
    return Measured(count, processor, memory, open_files, linking, middle, slowest, back)


def table(found: list[dict[str, Any]]) -> list[str]:
    """The page's table."""
    lines = [
        "| gateways | member, share of a core | member, MB | descriptors | all linked, s | change, half, s "
        "| all, s | member back, s |",
        "|---|---|---|---|---|---|---|---|",
    ]
    for one in found:
        lines.append(
            f"| {one['gateways']:,} | {one['member_processor']:.3f} | {one['member_memory'] / 1e6:.1f} "
            f"| {one['member_descriptors']:.0f} | {one['linking']:.2f} | {one['change_p50']:.3f} "
            f"| {one['change_all']:.3f} | {one['member_back']:.2f} |"
        )
    return lines


def main() -> int:
    """Measures each size and prints one line of JSON, and the table."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--sizes", type=int, nargs="+", default=list(SIZES))
    parser.add_argument("--processes", type=int, default=PROCESSES)
    options = parser.parse_args()
    found = [asdict(asyncio.run(measure(size, options.processes))) for size in options.sizes]
    print(json.dumps({"processes": options.processes, "found": found}))
    print("\n".join(table(found)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
