"""What gateways tell one another and what that costs them, by one thing at a time, with hollow gateways.

`python -m benchmarks.hollow [--quick] [--jobs N]` plays calm clusters in one process each: the real deciding
parts of every gateway and the real encoding of their messages, without sockets, clients or disks. Around one
base, the numbers of gateways, backends, tenants and requests vary one at a time. Bytes and messages are
counts. Processor time is this process's own while the parts decide, on the machine that it runs on.

For each figure two laws are fitted to all sizes but the largest, a line and a power; the one that leaves less
unexplained is told, with how well it predicts the largest size. Figures that hardly change are constant. What
they come to at the target is told twice: with the effects of the four added up, and multiplied. The truth of
figures that grow with a product lies between; neither was played.
"""

from __future__ import annotations

import argparse
import json
import math
import statistics
import sys
from collections.abc import Callable, Mapping, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, dataclass, replace
from enum import Enum
from pathlib import Path
from typing import Any

from embersill.lab.edge.traffic_figures import Shape, measure

SECONDS = 5.0  # of the cluster's time, once all have joined
BASE = Shape(gateways=60, backends=60, tenants=20, asked=4.0)
HARDLY = 0.12  # of its mean by which a figure may vary and be taken as constant
TARGET = Shape(gateways=2_100, backends=26_000, tenants=75_000, asked=190_000 / 2_100)
SIZES: dict[str, tuple[int, ...]] = {
    "gateways": (60, 90, 120, 160, 240),
    "backends": (30, 60, 120, 240, 480),
    "tenants": (10, 20, 40, 80, 160),
    "asked": (1, 2, 4, 8, 16),
}
QUICK_SIZES = {varied: sizes[:4] for varied, sizes in SIZES.items()}
FIGURES = {
    "edge_bytes_a_s": "gateway, bytes a second",
    "core_bytes_a_s": "member of the core, bytes a second",
    "messages_a_gateway_and_s": "messages a gateway and second",
    "processor_gateway": "gateway, share of a core",
    "processor_core": "member of the core, share of a core",
}
BOUNDS = {"edge_bytes_a_s": 10_000.0, "processor_gateway": 0.024}  # what control may cost a gateway


class Law(Enum):
    """How a figure grows."""

    CONSTANT = "constant"
    LINE = "line"
    POWER = "power"


@dataclass(frozen=True, slots=True)
class Growth:
    """A figure by one thing: `constant + slope * size`, `constant * size ** slope`, or the constant."""

    figure: str
    varied: str
    law: Law
    constant: float
    slope: float
    unexplained: float  # mean relative error at the sizes that were fitted
    held_back: int
    error: float  # relative, of the prediction for the size that was held back
    found: tuple[float, ...]

    def at(self, size: float) -> float:
        """The figure at a size."""
        if self.law is Law.CONSTANT:
            return self.constant
        if self.law is Law.LINE:
            return self.constant + self.slope * size
        return float(self.constant * size**self.slope)


def unexplained(found: Sequence[float], predicted: Sequence[float]) -> float:
    """Mean relative error."""
    return statistics.fmean(abs(made / seen - 1.0) for seen, made in zip(found, predicted, strict=True))


def laws(figure: str, varied: str, sizes: Sequence[int], found: Sequence[float]) -> list[Growth]:
    """The laws that are weighed, fitted to all sizes but the largest."""
    before, known, rest = sizes[:-1], found[:-1], (0.0, sizes[-1], 0.0, tuple(found))
    mean = statistics.fmean(known)
    if max(known) - min(known) <= HARDLY * mean:
        return [Growth(figure, varied, Law.CONSTANT, mean, 0.0, *rest)]
    line = statistics.linear_regression(before, known)
    power = statistics.linear_regression(
        [math.log(size) for size in before], [math.log(one) for one in known]
    )
    made = [
        Growth(figure, varied, Law.LINE, line.intercept, line.slope, *rest),
        Growth(figure, varied, Law.POWER, math.exp(power.intercept), power.slope, *rest),
    ]
    return [law for law in made if law.at(getattr(TARGET, varied)) > 0.0]


def fit(figure: str, varied: str, sizes: Sequence[int], found: Sequence[float]) -> Growth:
    """The law that leaves least unexplained, and how well it predicts the largest size."""
    judged = [
        replace(
            law,
            unexplained=round(unexplained(found[:-1], [law.at(size) for size in sizes[:-1]]), 4),
            error=round(law.at(sizes[-1]) / found[-1] - 1.0, 4),
        )
        for law in laws(figure, varied, sizes, found)
    ]
    return min(judged, key=lambda law: law.unexplained)


def shapes(sizes: Mapping[str, tuple[int, ...]]) -> list[tuple[str, int, Shape]]:
    """All clusters that are played: what varies, its size, the cluster."""
    made: list[tuple[str, int, Shape]] = []
    for varied, values in sizes.items():
        made += [(varied, value, replace(BASE, **{varied: value})) for value in values]
    return made


def played(shape: Shape) -> dict[str, Any]:
    """One cluster's figures."""
    return measure(shape.gateways, SECONDS, shape=shape)


def growths(
    sizes: Mapping[str, tuple[int, ...]], play: Callable[[list[Shape]], list[dict[str, Any]]]
) -> list[Growth]:
    """All figures by all things."""
    planned = shapes(sizes)
    rows = play([shape for _, _, shape in planned])
    by_place = {(varied, size): row for (varied, size, _), row in zip(planned, rows, strict=True)}
    return [
        fit(figure, varied, values, [by_place[varied, size][figure] for size in values])
        for figure in FIGURES
        for varied, values in sizes.items()
    ]


def refitted(run: dict[str, Any]) -> list[Growth]:
    """The laws of a kept run's figures."""
    return [
        fit(one["figure"], one["varied"], SIZES[one["varied"]][: len(one["found"])], one["found"])
        for one in run["growths"]
    ]


def at_target(made: list[Growth]) -> dict[str, dict[str, Any]]:
    """What each figure comes to at the target, added up and multiplied, beside its bound."""
    told: dict[str, dict[str, Any]] = {}
    for figure in FIGURES:
        own = [growth for growth in made if growth.figure == figure]
        there = [growth.at(getattr(TARGET, growth.varied)) for growth in own]
        here = [growth.at(getattr(BASE, growth.varied)) for growth in own]
        base = statistics.fmean(here)
        added = base + sum(more - less for more, less in zip(there, here, strict=True))
        multiplied = base * math.prod(more / less for more, less in zip(there, here, strict=True))
        bound = BOUNDS.get(figure)
        told[figure] = {
            "base": round(base, 5),
            "added": round(added, 4),
            "multiplied": round(multiplied, 4),
            "bound": bound,
            "within": None if bound is None else max(added, multiplied) <= bound,
        }
    return told


def table(run: dict[str, Any]) -> list[str]:
    """The page's tables of a kept run, a line each."""
    lines = ["| figure | by | law | constant | slope or power | fitted within | held back, error |"]
    lines.append("|---|---|---|---|---|---|---|")
    for one in run["growths"]:
        law = f"{one['law']} | {one['constant']:.5g} | {one['slope']:.4g} | {100 * one['unexplained']:.1f} %"
        check = f"{one['held_back']}, {100 * one['error']:+.0f} %"
        lines.append(f"| {FIGURES[one['figure']]} | {one['varied']} | {law} | {check} |")
    lines += ["", "| figure | at the base | at the target, added | multiplied | bound | within |"]
    lines.append("|---|---|---|---|---|---|")
    for figure, told in run["at_target"].items():
        bound = "-" if told["bound"] is None else f"{told['bound']:,}"
        within = "-" if told["within"] is None else ("yes" if told["within"] else "no")
        values = f"{told['base']:,.4g} | {told['added']:,.4g} | {told['multiplied']:,.4g}"
        lines.append(f"| {FIGURES[figure]} | {values} | {bound} | {within} |")
    return lines


def main() -> int:
    """Plays, fits and prints."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.hollow", description=__doc__)
    parser.add_argument("--quick", action="store_true", help="without the largest sizes")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--refit", type=Path, help="fit the figures of a kept run anew, playing nothing")
    chosen = parser.parse_args()
    sizes = QUICK_SIZES if chosen.quick else SIZES
    if chosen.refit is not None:
        made = refitted(json.loads(chosen.refit.read_text()))
    else:
        with ProcessPoolExecutor(chosen.jobs) as pool:
            made = growths(sizes, lambda planned: list(pool.map(played, planned)))
    told = [{**asdict(one), "law": one.law.value} for one in made]
    json.dump(
        {"base": asdict(BASE), "target": asdict(TARGET), "growths": told, "at_target": at_target(made)},
        sys.stdout,
        indent=1,
    )
    print()
    return 0


if __name__ == "__main__":
    sys.exit(main())
