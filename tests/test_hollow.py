"""Hollow gateways: known laws are found by the fit, and the page's tables show the kept runs."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from benchmarks.hollow import BASE, FIGURES, Growth, Law, at_target, fit, growths, table
from embersill.lab.edge.traffic_figures import Shape, measure

DOCS = Path(__file__).parents[1] / "docs"
SIZES = (10, 20, 40, 80, 160)


@pytest.mark.parametrize(
    ("law", "found", "at_thousand"),
    [
        (Law.CONSTANT, [5.0, 5.2, 4.9, 5.1, 5.0], 5.05),
        (Law.LINE, [3.0 + 2.0 * size for size in SIZES], 2003.0),
        (Law.POWER, [2.0 * size**0.5 for size in SIZES], 2.0 * 1000**0.5),
    ],
)
def test_a_law_that_is_known_is_found_and_predicts_what_was_held_back(
    law: Law, found: list[float], at_thousand: float
) -> None:
    growth = fit("edge_bytes_a_s", "gateways", SIZES, found)
    assert growth.law is law and abs(growth.error) < 0.02 and growth.held_back == 160
    assert growth.at(1000) == pytest.approx(at_thousand, rel=1e-6)


def test_what_is_fitted_comes_to_more_multiplied_than_added_where_all_grow() -> None:
    def play(shapes: list[Shape]) -> list[dict[str, Any]]:
        return [
            dict.fromkeys(FIGURES, float(one.gateways * one.backends * one.tenants * one.asked))
            for one in shapes
        ]

    sizes = {name: SIZES for name in ("gateways", "backends", "tenants", "asked")}
    made: list[Growth] = growths(sizes, play)
    told = at_target(made)["edge_bytes_a_s"]
    base = float(BASE.gateways * BASE.backends * BASE.tenants * BASE.asked)
    assert told["base"] == pytest.approx(base, rel=0.01)
    assert told["multiplied"] == pytest.approx(2100 * 26_000 * 75_000 * 190_000 / 2100, rel=0.01)
    assert told["added"] < told["multiplied"] and told["within"] is False


def test_counts_of_a_hollow_cluster_repeat() -> None:
    shape = Shape(6, 12, 4, 2.0)
    first, again = (measure(shape.gateways, 2.0, shape=shape) for _ in range(2))
    for name in ("edge_bytes_a_s", "core_bytes_a_s", "messages_a_gateway_and_s", "by_kind"):
        assert first[name] == again[name]
    assert first["core_bytes_a_s"] > first["edge_bytes_a_s"] > 100


def test_the_pages_tables_are_the_kept_runs() -> None:
    run, page = json.loads((DOCS / "hollow.json").read_text()), (DOCS / "CAPACITY.md").read_text()
    assert "\n".join(table(run)) in page
