"""Scenarios of the whole system: read with the entry at fault, run, and compared by paired seeds."""

from __future__ import annotations

import argparse
import json
from pathlib import Path

import pytest

from embersill.edge.dataplane.admission import EdgeAdmission
from embersill.lab.edge.town_command import experiment, main, play, read_scenario

SCENARIO = """
gateways = 5
seconds = 8.0
backends = 15
[[tenants]]
name = "t"
rate_per_s = 40.0
burst_size = 40.0
asks_per_s = 30.0
[[tenants]]
name = "u"
rate_per_s = 40.0
burst_size = 40.0
asks_per_s = 10.0
"""
TROUBLES = "".join(
    f'[[troubles]]\nkind = "{kind}"\nat = {at}\nfor_s = 2.0\nshare = 0.2\n{more}\n'
    for kind, at, more in (
        ("kill", 1.0, ""),
        ("kill core", 3.0, ""),
        ("cut", 1.5, ""),
        ("slow", 4.0, "x = 0.1"),
        ("burst", 5.0, "x = 3.0"),
        ("backends down", 2.0, ""),
        ("hot tenant", 3.5, 'tenant = "t"\nx = 6.0'),
    )
)
SCENARIOS_FOLDER = Path(__file__).parents[2] / "benchmarks" / "towns"
VARIANT_WITH_CONSTANTS = '[[variants]]\nname = "v"\n[variants.constants]\n'
HOLD_SHARE_CONSTANT = "embersill.edge.dataplane.admission.EdgeAdmission.hold_share"


def write_scenario(folder: Path, text: str) -> Path:
    path = folder / "scenario.toml"
    path.write_text(text)
    return path


@pytest.mark.parametrize(
    "old, new, why",
    [
        ("gateways = 5", "gateways = 0", "scenario.gateways"),
        ("seconds = 8.0", "", "no seconds"),
        ("backends = 15", "backends = 0", "scenario.backends"),
        ('name = "u"', 'name = "t"', "two of one name"),
        ("asks_per_s = 10.0", "asks_per_s = 0.0", "scenario.tenants[1]"),
        ("backends = 15", "core = 9", "scenario.core"),
        ("", '[[troubles]]\nkind = "flood"\nat = 1.0\nfor_s = 1.0', "scenario.troubles[0].kind"),
        ("", '[[troubles]]\nkind = "cut"\nat = 1.0\nfor_s = 0.0', "a time or a share"),
        ("", '[[troubles]]\nkind = "hot tenant"\nat = 1.0\nfor_s = 1.0', "scenario.troubles[0].tenant"),
        ("", VARIANT_WITH_CONSTANTS + '"embersill.edge.dataplane.admission.NONE" = 1.0', "no constant"),
        ("", VARIANT_WITH_CONSTANTS + '"os.path.sep" = 1.0', "no constant"),
        ("", '[[variants]]\nname = "v"\n[variants.entries]\nseconds = -1.0', "scenario.seconds"),
        ("", "x = [", "scenario.toml"),
    ],
)
def test_an_invalid_scenario_is_rejected_with_the_entry_at_fault(
    tmp_path: Path, old: str, new: str, why: str
) -> None:
    text = SCENARIO.replace(old, new, 1) if old else SCENARIO + new
    assert why in read_scenario(write_scenario(tmp_path, text)).error


@pytest.mark.parametrize("path", sorted(SCENARIOS_FOLDER.glob("*.toml")), ids=lambda path: path.stem)
def test_the_scenarios_of_the_repository_are_valid(path: Path) -> None:
    assert read_scenario(path).is_ok()


def test_all_troubles_are_run_and_have_an_effect(tmp_path: Path) -> None:
    undisturbed = play(read_scenario(write_scenario(tmp_path, SCENARIO)).ok, 1)
    troubled = play(read_scenario(write_scenario(tmp_path, SCENARIO + TROUBLES)).ok, 1)
    assert undisturbed["worth"] > 0.99 and not undisturbed["broken"] and not troubled["broken"]
    assert (
        troubled["asked"] > 1.5 * undisturbed["asked"] and troubled["failed"] > 0 and troubled["worth"] < 0.9
    )
    assert troubled["tenants"]["t"]["most_of_quota"] > undisturbed["tenants"]["t"]["most_of_quota"]
    assert len(troubled["seconds"]) == 8 and troubled["seconds"][0]["worth"] > 0.9


def test_variants_are_compared_seed_by_seed_and_constants_are_restored(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    before = EdgeAdmission.hold_share
    burst = '[[troubles]]\nkind = "burst"\nat = 1.0\nfor_s = 4.0\nx = 4.0\n'
    variants = (
        f'[[variants]]\nname = "waits"\n[variants.constants]\n"{HOLD_SHARE_CONSTANT}" = 0.0\n'
        '[[variants]]\nname = "same"\n[[variants]]\nname = "few"\n[variants.entries]\nbackends = 1\n'
    )
    path, picture = write_scenario(tmp_path, SCENARIO + burst + variants), tmp_path / "worth.svg"
    arguments = argparse.Namespace(scenario=path, seeds=2, jobs=2, picture=picture)
    assert main(arguments) == 0
    result = json.loads(capsys.readouterr().out)
    assert {
        name
        for name, by_figure in result["against"].items()
        if any(figure["mean"] for figure in by_figure.values())
    } == {
        "waits",
        "few",
    }
    assert result["against"]["few"]["worth"]["mean"] < -0.05 and result["against"]["waits"]["p99"]["mean"] < 0
    assert "few" in picture.read_text() and EdgeAdmission.hold_share == before
    assert main(argparse.Namespace(scenario=tmp_path / "none", seeds=1, jobs=1, picture=None)) == 2
    assert main(argparse.Namespace(scenario=path, seeds=1, jobs=1, picture=tmp_path / "worth.none")) == 2


def test_a_violated_rule_is_reported(tmp_path: Path) -> None:
    overloaded = SCENARIO.replace("asks_per_s = 30.0", "asks_per_s = 400.0")
    # a reserve that lends far more than the bound allows
    text = overloaded + VARIANT_WITH_CONSTANTS + '"embersill.edge.quota.sums.RESERVE_REFILL_SHARE" = 60.0\n'
    result = experiment(read_scenario(write_scenario(tmp_path, text)).ok, 1, 1)
    assert not result["runs"]["as it is"][0]["broken"] and "t ran" in result["broken"][0]
