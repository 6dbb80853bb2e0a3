"""The capacity page tells what the kept run has measured."""

from __future__ import annotations

import json
from pathlib import Path

from benchmarks.capacity import CHANGES_A_DAY, DAY, GATEWAYS, TARGET, WITHIN, at_target, fits, table

DOCS = Path(__file__).parents[1] / "docs"


def test_the_pages_table_is_the_kept_runs() -> None:
    run, page = json.loads((DOCS / "capacity.json").read_text()), (DOCS / "CAPACITY.md").read_text()
    assert run["target"] == TARGET
    assert "\n".join(table(run)) in page


def test_sizes_are_linear_and_the_largest_is_predicted_from_the_smaller_ones() -> None:
    """Bytes are counts: each is within a fiftieth of what smaller sizes foretell."""
    made = [
        fit for fit in fits((50, 100, 200, 400)) if fit.unit == "bytes" and fit.figure != "gateway memory"
    ]
    assert len(made) == 5 and all(abs(fit.error) < 0.02 and fit.r2 > 0.99 for fit in made)
    told = at_target(made)
    assert told["gateway_bytes_a_second"] == round(told["value_bytes"] * CHANGES_A_DAY / DAY)
    assert abs(told["mbit_a_second_to_all_within_6_s"] - 8e-6 * told["value_bytes"] * GATEWAYS / WITHIN) < 1
