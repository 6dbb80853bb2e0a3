"""Scenarios of the whole system in simulated time, and paired experiments over seeds: `lab town FILE`.

A scenario is a TOML file: the number of gateways and backends, the tenants and their request rates, and the
faults with their times. Its variants change single entries, or constants of production modules and classes,
and run on the seeds of the scenario itself; the mean difference and twice its standard error are reported.
"""

from __future__ import annotations

import argparse
import importlib
import json
import math
import sys
import tomllib
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from contextlib import contextmanager
from pathlib import Path
from statistics import fmean, stdev
from typing import TYPE_CHECKING, Any, Literal, NotRequired, TypedDict

from expression import Error, Ok, Result

from embersill.edge.configuration.check import checked
from embersill.lab.edge.fleet import Machine
from embersill.lab.edge.system_simulation import (
    CLIENT_TIMEOUT_S,
    RequestRecord,
    SystemSimulation,
    quantile,
    served_durations,
    system_with_tenants,
    worth,
)

if TYPE_CHECKING:
    from matplotlib.figure import Figure

MAX_GATEWAYS, MAX_SECONDS = 1000, 600.0
MAX_VARIANTS = 16
FIGURES = "worth", "served", "refused", "failed", "p50", "p99"


class Caller(TypedDict):
    """A tenant and its load; rates are requests a second over all gateways."""

    name: str
    rate_per_s: float
    burst_size: float
    asks_per_s: float
    repeats: NotRequired[int]


class Fault(TypedDict):
    """A fault. `at`: seconds from the start of traffic; `for_s`: duration; `share`: part of the targets."""

    kind: Literal["kill", "kill core", "cut", "slow", "backends down", "hot tenant", "burst"]
    at: float
    for_s: float
    share: NotRequired[float]
    x: NotRequired[float]  # load factor ("hot tenant", "burst") or added delay in seconds ("slow")
    tenant: NotRequired[str]


class Variant(TypedDict):
    """A change to the scenario's entries, and to constants named `module.NAME` or `module.Class.name`."""

    name: str
    entries: NotRequired[dict[str, Any]]
    constants: NotRequired[dict[str, float]]


class Scenario(TypedDict):
    """A scenario file (TOML): the system, its callers, faults, and variants to compare."""

    gateways: int
    seconds: float
    tenants: list[Caller]
    core: NotRequired[int]
    backends: NotRequired[int]
    troubles: NotRequired[list[Fault]]
    variants: NotRequired[list[Variant]]


def validation_error(scenario: Scenario) -> str:
    """The first invalid entry, with its location; empty if the scenario is valid."""
    if not 1 <= scenario["gateways"] <= MAX_GATEWAYS:
        return f"scenario.gateways: must be 1 to {MAX_GATEWAYS}"
    if not 0 < scenario["seconds"] <= MAX_SECONDS:
        return f"scenario.seconds: must be above 0 and at most {MAX_SECONDS:.0f}"
    if not 1 <= scenario.get("core", 1) <= scenario["gateways"]:
        return "scenario.core: must be 1 to the number of gateways"
    if scenario.get("backends", 1) < 1:
        return "scenario.backends: must be at least 1"
    names = [caller["name"] for caller in scenario["tenants"]]
    if not names or len(set(names)) < len(names):
        return "scenario.tenants: none, or two of one name"
    for number, caller in enumerate(scenario["tenants"]):
        if caller["asks_per_s"] <= 0 or caller["rate_per_s"] < 0 or caller["burst_size"] < 0:
            return f"scenario.tenants[{number}]: asks_per_s must be above 0, the other rates at least 0"
    for number, fault in enumerate(scenario.get("troubles", [])):
        location = f"scenario.troubles[{number}]"
        if fault["at"] < 0 or fault["for_s"] <= 0 or not 0 < fault.get("share", 1.0) <= 1:
            return f"{location}: a time or a share that is none"
        if fault["kind"] == "hot tenant" and fault.get("tenant") not in names:
            return f"{location}.tenant: no such tenant"
    if len(scenario.get("variants", [])) > MAX_VARIANTS:
        return f"scenario.variants: more than {MAX_VARIANTS}"
    return ""


def read_scenario(path: Path) -> Result[Scenario, str]:
    """Reads and validates a scenario and its variants; an error names the location of the invalid entry."""
    try:
        loaded = tomllib.loads(path.read_text())
    except (OSError, ValueError) as error:
        return Error(f"{path}: {error}")
    parsed = checked(loaded, Scenario, "scenario")
    if parsed.is_error():
        return Error(f"{path}: {parsed.error}")
    scenario: Scenario = parsed.ok
    reason = validation_error(scenario)
    for number, variant in enumerate(scenario.get("variants", [])):
        location = f"scenario.variants[{number}]"
        variant_parsed = checked({**loaded, **variant.get("entries", {})}, Scenario, location)
        reason = reason or (
            variant_parsed.error if variant_parsed.is_error() else validation_error(variant_parsed.ok)
        )
        for name in variant.get("constants", {}):
            reason = reason or (
                "" if resolve_constant(name) else f"{location}.constants: no constant {name!r}"
            )
    return Error(f"{path}: {reason}") if reason else Ok(scenario)


def resolve_constant(name: str) -> tuple[Any, str] | None:
    """Finds a numeric constant by `module.NAME` or `module.Class.name`; None if there is none."""
    owner, _, constant = name.rpartition(".")
    try:
        namespace: Any = importlib.import_module(owner)
    except ImportError:
        module, _, class_name = owner.rpartition(".")
        try:
            namespace = getattr(importlib.import_module(module), class_name, None) if module else None
        except ImportError:
            return None
    number = getattr(namespace, constant, None)
    allowed = owner.startswith("embersill.") and isinstance(number, int | float)
    return (namespace, constant) if allowed and not isinstance(number, bool) else None


@contextmanager
def override_constants(constants: dict[str, float]) -> Iterator[None]:
    """Sets constants to other values inside the context; ValueError for an unknown one."""
    previous = []
    for name, value in constants.items():
        resolved = resolve_constant(name)
        if resolved is None:
            raise ValueError(f"no constant {name!r}")
        previous.append((*resolved, getattr(*resolved)))
        setattr(*resolved, value)
    try:
        yield
    finally:
        for namespace, constant, value in previous:
            setattr(namespace, constant, value)


def first_fraction(items: list[Any], fraction: float) -> list[Any]:
    """The first items up to a fraction of all, at least one."""
    return items[: max(1, round(fraction * len(items)))]


def schedule_fault(
    system: SystemSimulation, fault: Fault, callers: list[Caller], choose_machine: Callable[[], Machine]
) -> None:
    """Schedules the beginning and end of a fault."""
    kernel, start, duration_s = system.kernel, system.kernel.now + fault["at"], fault["for_s"]
    share, factor, kind = fault.get("share", 0.1), fault.get("x", 5.0), fault["kind"]
    core = [machine for machine in system.machines if machine.core]
    others = [machine for machine in system.machines if not machine.core] or core
    if kind in ("kill", "kill core"):
        for machine in first_fraction(core if kind == "kill core" else others, share):
            kernel.at(start, machine.kill)
            kernel.at(start + duration_s, machine.start)
    elif kind == "cut":
        names = {machine.name for machine in first_fraction(others, share)}
        kernel.at(start, system.cut, names)
        kernel.at(start + duration_s, system.heal)
    elif kind == "slow":
        slowed = {machine.name: fault.get("x", 0.2) for machine in first_fraction(others, share)}
        kernel.at(start, system.added_delay_s.update, slowed)
        kernel.at(start + duration_s, system.added_delay_s.clear)
    elif kind == "backends down":
        affected_backends = first_fraction(list(system.backends), share)
        kernel.at(start, system.backends_down.update, affected_backends)
        kernel.at(start + duration_s, system.backends_down.difference_update, affected_backends)
    else:
        affected = [caller for caller in callers if kind == "burst" or caller["name"] == fault.get("tenant")]
        for caller in affected:
            added_rate_per_s = caller["asks_per_s"] * (factor - 1.0)
            kernel.at(
                start,
                lambda name=caller["name"],
                added_rate_per_s=added_rate_per_s,
                until=start + duration_s: system.generate_traffic(
                    name, added_rate_per_s, choose_machine, until, CLIENT_TIMEOUT_S, 1, "more"
                ),
            )


def play(scenario: Scenario, seed: int, constants: dict[str, float] | None = None) -> dict[str, Any]:
    """Runs one seed; figures overall, by tenant and by second; `broken`: the violated invariant, if any."""
    with override_constants(constants or {}):
        gateways, callers = scenario["gateways"], scenario["tenants"]
        quotas = {caller["name"]: (caller["rate_per_s"], caller["burst_size"]) for caller in callers}
        system = system_with_tenants(
            seed,
            gateways,
            quotas,
            1,
            scenario.get("backends", max(3 * gateways, 12)),
            cores=min(scenario.get("core", 3), gateways),
        )
        start = system.kernel.now
        chance = system.kernel.stream("where")

        def choose_running_machine() -> Machine:
            return chance.choice([m for m in system.machines if m.node is not None] or system.machines)

        for caller in callers:
            if caller["rate_per_s"] > 0:
                system.enforce_quota(caller["name"], caller["rate_per_s"], caller["burst_size"])
            system.generate_traffic(
                caller["name"],
                caller["asks_per_s"],
                choose_running_machine,
                start + scenario["seconds"],
                CLIENT_TIMEOUT_S,
                caller.get("repeats", 1),
            )
        for fault in scenario.get("troubles", []):
            schedule_fault(system, fault, callers, choose_running_machine)
        violation = ""
        try:
            system.run(scenario["seconds"] + CLIENT_TIMEOUT_S + 1.0)
        except AssertionError as error:
            violation = str(error)
        return {
            "seed": seed,
            "broken": violation,
            **figures(system.requests),
            "tenants": {
                name: {
                    **figures([o for o in system.requests if o.tenant == name]),
                    "most_of_quota": round(system.peak_quota_usage.get(name, 0.0), 3),
                }
                for name in quotas
            },
            "seconds": by_second(system.requests, start, scenario["seconds"]),
        }


def figures(requests: list[RequestRecord]) -> dict[str, float]:
    """Worth, outcomes and latencies in seconds of these requests."""
    durations = served_durations(requests)
    ends = {
        end: sum(record.end == end for record in requests) / max(len(requests), 1)
        for end in ("served", "refused", "failed")
    }
    values = {
        "worth": worth(requests),
        **ends,
        "p50": quantile(durations, 0.5),
        "p99": quantile(durations, 0.99),
    }
    return {"asked": len(requests), **{name: round(value, 5) for name, value in values.items()}}


def by_second(requests: Iterable[RequestRecord], start: float, seconds: float) -> list[dict[str, float]]:
    """The figures of each second from a start time on."""
    requests_by_second: list[list[RequestRecord]] = [[] for _ in range(math.ceil(seconds))]
    for record in requests:
        second = int(record.asked_at - start)
        if 0 <= second < len(requests_by_second):
            requests_by_second[second].append(record)
    return [figures(group) for group in requests_by_second]


def differences(
    base_rows: list[dict[str, Any]], variant_rows: list[dict[str, Any]]
) -> dict[str, dict[str, float]]:
    """The mean paired difference of each figure over the seeds, and twice its standard error."""
    result = {}
    for name in FIGURES:
        pairs = [
            changed_row[name] - base_row[name]
            for base_row, changed_row in zip(base_rows, variant_rows, strict=True)
        ]
        error = 2 * stdev(pairs) / math.sqrt(len(pairs)) if len(pairs) > 1 else math.nan
        result[name] = {"mean": round(fmean(pairs), 5), "within": round(error, 5)}
    return result


def experiment(scenario: Scenario, seeds: int, jobs: int) -> dict[str, Any]:
    """Runs the scenario and all its variants on the same seeds."""
    configurations: list[tuple[str, Scenario, dict[str, float]]] = [("as it is", scenario, {})]
    for variant in scenario.get("variants", []):
        entries: Any = {**scenario, **variant.get("entries", {})}
        configurations.append((variant["name"], entries, variant.get("constants", {})))
    runs = [
        (configuration, seed, constants)
        for _, configuration, constants in configurations
        for seed in range(1, seeds + 1)
    ]
    with ProcessPoolExecutor(jobs) as pool:
        results = list(pool.map(play, *zip(*runs, strict=True)))
    by_name = {
        name: results[index * seeds : (index + 1) * seeds]
        for index, (name, _, _) in enumerate(configurations)
    }
    base = by_name["as it is"]
    return {
        "runs": by_name,
        "broken": [row["broken"] for row in results if row["broken"]],
        "against": {name: differences(base, by_name[name]) for name, _, _ in configurations[1:]},
    }


def draw(results: dict[str, Any]) -> Figure:
    """Plots worth and p99 by second, averaged over all seeds, one line for each variant."""
    from matplotlib.figure import Figure  # takes half a second to import and no other command needs it

    figure = Figure((9.0, 6.0), layout="constrained")
    above, below = figure.subplots(2, 1, sharex=True)
    for name, rows in results["runs"].items():
        seconds = range(len(rows[0]["seconds"]))
        above.plot(seconds, [fmean(row["seconds"][n]["worth"] for row in rows) for n in seconds], label=name)
        below.plot(seconds, [fmean(row["seconds"][n]["p99"] for row in rows) for n in seconds], label=name)
    above.set_ylabel("mean worth of requests")
    above.set_ylim(0.0, 1.05)
    above.legend(fontsize="small")
    below.set_ylabel("seconds, p99")
    below.set_xlabel("second")
    return figure


def add_to(subparsers: Any) -> None:
    """`python -m embersill.lab town`."""
    parser = subparsers.add_parser("town", help="run a scenario of the whole system in simulated time")
    parser.set_defaults(what="town")
    parser.add_argument("scenario", type=Path, help="a TOML file; docs/operate/town.md documents the format")
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--picture", type=Path, help="plot worth and p99 by second; .svg, .png or .pdf")


def main(arguments: argparse.Namespace) -> int:
    """Prints JSON; 1 if an invariant was violated, 2 if the scenario is invalid."""
    parsed = read_scenario(arguments.scenario)
    if parsed.is_error() or arguments.seeds < 1:
        print(
            f"town: {parsed.error if parsed.is_error() else '--seeds: must be at least 1'}", file=sys.stderr
        )
        return 2
    results = experiment(parsed.ok, arguments.seeds, arguments.jobs)
    if arguments.picture is not None:
        try:
            draw(results).savefig(arguments.picture)
        except (OSError, ValueError) as error:
            print(f"town: {arguments.picture}: {error}", file=sys.stderr)
            return 2
    json.dump(results, sys.stdout, indent=1)
    print()
    return 1 if results["broken"] else 0
