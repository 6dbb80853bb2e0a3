"""Scenarios of the whole system in simulated time, and paired experiments over seeds: `lab town FILE`.

A scenario is a TOML file: how many gateways and backends, which tenants ask for how much, which troubles
come when. Its variants change single entries, or constants of deciding modules and classes, and are played on
the same seeds as the scenario itself; told of them is the mean difference, with twice its standard error.
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
from embersill.lab.edge.town import (
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

MOST_GATEWAYS, MOST_SECONDS = 1000, 600.0
MOST_VARIANTS = 16
FIGURES = "worth", "served", "refused", "failed", "p50", "p99"


class Caller(TypedDict):
    """A tenant and what it asks for, in requests a second over all gateways."""

    name: str
    rate_per_s: float
    burst_size: float
    asks_per_s: float
    repeats: NotRequired[int]


class Trouble(TypedDict):
    """`at` and `for_s`: seconds from the start of traffic. `share`: of the things that it strikes."""

    kind: Literal["kill", "kill core", "cut", "slow", "backends down", "hot tenant", "burst"]
    at: float
    for_s: float
    share: NotRequired[float]
    x: NotRequired[float]  # times as much, or seconds that messages take: "hot tenant", "burst", "slow"
    tenant: NotRequired[str]


class Variant(TypedDict):
    """What is changed: entries of the scenario, and constants as `module.NAME` or `module.Class.name`."""

    name: str
    entries: NotRequired[dict[str, Any]]
    constants: NotRequired[dict[str, float]]


class Scenario(TypedDict):
    """A scenario file (TOML): the town, its callers, what befalls it, and variants to compare."""

    gateways: int
    seconds: float
    tenants: list[Caller]
    core: NotRequired[int]
    backends: NotRequired[int]
    troubles: NotRequired[list[Trouble]]
    variants: NotRequired[list[Variant]]


def unsound(scenario: Scenario) -> str:
    """What makes no sense, with its place; empty if all does."""
    if not 1 <= scenario["gateways"] <= MOST_GATEWAYS:
        return f"scenario.gateways: not 1 to {MOST_GATEWAYS}"
    if not 0 < scenario["seconds"] <= MOST_SECONDS:
        return f"scenario.seconds: not above nought and {MOST_SECONDS:.0f} at most"
    if not 1 <= scenario.get("core", 1) <= scenario["gateways"]:
        return "scenario.core: not 1 to the number of gateways"
    if scenario.get("backends", 1) < 1:
        return "scenario.backends: none"
    names = [caller["name"] for caller in scenario["tenants"]]
    if not names or len(set(names)) < len(names):
        return "scenario.tenants: none, or two of one name"
    for number, caller in enumerate(scenario["tenants"]):
        if caller["asks_per_s"] <= 0 or caller["rate_per_s"] < 0 or caller["burst_size"] < 0:
            return f"scenario.tenants[{number}]: a rate that is none"
    for number, trouble in enumerate(scenario.get("troubles", [])):
        where = f"scenario.troubles[{number}]"
        if trouble["at"] < 0 or trouble["for_s"] <= 0 or not 0 < trouble.get("share", 1.0) <= 1:
            return f"{where}: a time or a share that is none"
        if trouble["kind"] == "hot tenant" and trouble.get("tenant") not in names:
            return f"{where}.tenant: no such tenant"
    if len(scenario.get("variants", [])) > MOST_VARIANTS:
        return f"scenario.variants: more than {MOST_VARIANTS}"
    return ""


def read_scenario(path: Path) -> Result[Scenario, str]:
    """A scenario that makes sense, with all its variants; an error that names the place of what is wrong."""
    try:
        loaded = tomllib.loads(path.read_text())
    except (OSError, ValueError) as error:
        return Error(f"{path}: {error}")
    read = checked(loaded, Scenario, "scenario")
    if read.is_error():
        return Error(f"{path}: {read.error}")
    scenario: Scenario = read.ok
    why = unsound(scenario)
    for number, variant in enumerate(scenario.get("variants", [])):
        place = f"scenario.variants[{number}]"
        changed = checked({**loaded, **variant.get("entries", {})}, Scenario, place)
        why = why or (changed.error if changed.is_error() else unsound(changed.ok))
        for name in variant.get("constants", {}):
            why = why or ("" if resolved(name) else f"{place}.constants: no constant {name!r}")
    return Error(f"{path}: {why}") if why else Ok(scenario)


def resolved(name: str) -> tuple[Any, str] | None:
    """The module or class that has a number under that name, `module.NAME` or `module.Class.name`."""
    owner, _, constant = name.rpartition(".")
    try:
        there: Any = importlib.import_module(owner)
    except ImportError:
        module, _, kind = owner.rpartition(".")
        try:
            there = getattr(importlib.import_module(module), kind, None) if module else None
        except ImportError:
            return None
    number = getattr(there, constant, None)
    known = owner.startswith("embersill.") and isinstance(number, int | float)
    return (there, constant) if known and not isinstance(number, bool) else None


@contextmanager
def constants_set(constants: dict[str, float]) -> Iterator[None]:
    """These constants have other values meanwhile; ValueError for one that is none."""
    before = []
    for name, value in constants.items():
        place = resolved(name)
        if place is None:
            raise ValueError(f"no constant {name!r}")
        before.append((*place, getattr(*place)))
        setattr(*place, value)
    try:
        yield
    finally:
        for there, constant, value in before:
            setattr(there, constant, value)


def chosen(things: list[Any], share: float) -> list[Any]:
    """The first of these, a share of them, one at least."""
    return things[: max(1, round(share * len(things)))]


def strike(
    system: SystemSimulation, trouble: Trouble, callers: list[Caller], where: Callable[[], Machine]
) -> None:
    """Sets one trouble's beginning and end."""
    kernel, start, end = system.kernel, system.kernel.now + trouble["at"], trouble["for_s"]
    share, x, kind = trouble.get("share", 0.1), trouble.get("x", 5.0), trouble["kind"]
    core = [machine for machine in system.machines if machine.core]
    others = [machine for machine in system.machines if not machine.core] or core
    if kind in ("kill", "kill core"):
        for machine in chosen(core if kind == "kill core" else others, share):
            kernel.at(start, machine.kill)
            kernel.at(start + end, machine.start)
    elif kind == "cut":
        names = {machine.name for machine in chosen(others, share)}
        kernel.at(start, system.cut, names)
        kernel.at(start + end, system.heal)
    elif kind == "slow":
        slowed = {machine.name: trouble.get("x", 0.2) for machine in chosen(others, share)}
        kernel.at(start, system.added_delay_s.update, slowed)
        kernel.at(start + end, system.added_delay_s.clear)
    elif kind == "backends down":
        lost = chosen(list(system.backends), share)
        kernel.at(start, system.backends_down.update, lost)
        kernel.at(start + end, system.backends_down.difference_update, lost)
    else:
        hot = [one for one in callers if kind == "burst" or one["name"] == trouble.get("tenant")]
        for one in hot:
            more = one["asks_per_s"] * (x - 1.0)
            kernel.at(
                start,
                lambda name=one["name"], more=more, until=start + end: system.generate_traffic(
                    name, more, where, until, CLIENT_TIMEOUT_S, 1, "more"
                ),
            )


def play(scenario: Scenario, seed: int, constants: dict[str, float] | None = None) -> dict[str, Any]:
    """One run: figures in all, by tenant and by second; `broken` has the rule that was, if any."""
    with constants_set(constants or {}):
        gateways, callers = scenario["gateways"], scenario["tenants"]
        quotas = {one["name"]: (one["rate_per_s"], one["burst_size"]) for one in callers}
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

        def where() -> Machine:
            return chance.choice([m for m in system.machines if m.node is not None] or system.machines)

        for one in callers:
            if one["rate_per_s"] > 0:
                system.enforce_quota(one["name"], one["rate_per_s"], one["burst_size"])
            system.generate_traffic(
                one["name"],
                one["asks_per_s"],
                where,
                start + scenario["seconds"],
                CLIENT_TIMEOUT_S,
                one.get("repeats", 1),
            )
        for trouble in scenario.get("troubles", []):
            strike(system, trouble, callers, where)
        broken = ""
        try:
            system.run(scenario["seconds"] + CLIENT_TIMEOUT_S + 1.0)
        except AssertionError as error:
            broken = str(error)
        return {
            "seed": seed,
            "broken": broken,
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


def figures(asked: list[RequestRecord]) -> dict[str, float]:
    """Worth, ends and times in seconds of these requests."""
    took = served_durations(asked)
    ends = {
        end: sum(one.end == end for one in asked) / max(len(asked), 1)
        for end in ("served", "refused", "failed")
    }
    found = {"worth": worth(asked), **ends, "p50": quantile(took, 0.5), "p99": quantile(took, 0.99)}
    return {"asked": len(asked), **{name: round(value, 5) for name, value in found.items()}}


def by_second(asked: Iterable[RequestRecord], start: float, seconds: float) -> list[dict[str, float]]:
    """The same for each second from a start on."""
    parts: list[list[RequestRecord]] = [[] for _ in range(math.ceil(seconds))]
    for one in asked:
        place = int(one.asked_at - start)
        if 0 <= place < len(parts):
            parts[place].append(one)
    return [figures(part) for part in parts]


def differences(base: list[dict[str, Any]], other: list[dict[str, Any]]) -> dict[str, dict[str, float]]:
    """Mean difference of each figure over seeds, pair by pair, and twice its standard error."""
    found = {}
    for name in FIGURES:
        pairs = [more[name] - less[name] for less, more in zip(base, other, strict=True)]
        error = 2 * stdev(pairs) / math.sqrt(len(pairs)) if len(pairs) > 1 else math.nan
        found[name] = {"mean": round(fmean(pairs), 5), "within": round(error, 5)}
    return found


def experiment(scenario: Scenario, seeds: int, jobs: int) -> dict[str, Any]:
    """The scenario and all its variants on the same seeds."""
    made: list[tuple[str, Scenario, dict[str, float]]] = [("as it is", scenario, {})]
    for variant in scenario.get("variants", []):
        entries: Any = {**scenario, **variant.get("entries", {})}
        made.append((variant["name"], entries, variant.get("constants", {})))
    runs = [(one, seed, constants) for _, one, constants in made for seed in range(1, seeds + 1)]
    with ProcessPoolExecutor(jobs) as pool:
        rows = list(pool.map(play, *zip(*runs, strict=True)))
    played = {name: rows[place * seeds : (place + 1) * seeds] for place, (name, _, _) in enumerate(made)}
    base = played["as it is"]
    return {
        "runs": played,
        "broken": [row["broken"] for row in rows if row["broken"]],
        "against": {name: differences(base, played[name]) for name, _, _ in made[1:]},
    }


def drawn(told: dict[str, Any]) -> Figure:
    """Worth and p99 by second, a line for each variant, over all seeds."""
    from matplotlib.figure import Figure  # half a second to load, which no other command needs

    figure = Figure((9.0, 6.0), layout="constrained")
    above, below = figure.subplots(2, 1, sharex=True)
    for name, rows in told["runs"].items():
        seconds = range(len(rows[0]["seconds"]))
        above.plot(seconds, [fmean(row["seconds"][n]["worth"] for row in rows) for n in seconds], label=name)
        below.plot(seconds, [fmean(row["seconds"][n]["p99"] for row in rows) for n in seconds], label=name)
    above.set_ylabel("worth of what was asked")
    above.set_ylim(0.0, 1.05)
    above.legend(fontsize="small")
    below.set_ylabel("seconds, p99")
    below.set_xlabel("second")
    return figure


def add_to(subparsers: Any) -> None:
    """`python -m embersill.lab town`."""
    parser = subparsers.add_parser("town", help="plays a scenario of the whole system in simulated time")
    parser.set_defaults(what="town")
    parser.add_argument("scenario", type=Path, help="a TOML file, as docs/operate/town.md has it")
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--picture", type=Path, help="draws worth and p99 by second; .svg, .png or .pdf")


def main(arguments: argparse.Namespace) -> int:
    """Prints JSON; 1 where a rule was broken, 2 where the scenario can't be played."""
    read = read_scenario(arguments.scenario)
    if read.is_error() or arguments.seeds < 1:
        print(f"town: {read.error if read.is_error() else '--seeds: none'}", file=sys.stderr)
        return 2
    told = experiment(read.ok, arguments.seeds, arguments.jobs)
    if arguments.picture is not None:
        try:
            drawn(told).savefig(arguments.picture)
        except (OSError, ValueError) as error:
            print(f"town: {arguments.picture}: {error}", file=sys.stderr)
            return 2
    json.dump(told, sys.stdout, indent=1)
    print()
    return 1 if told["broken"] else 0
