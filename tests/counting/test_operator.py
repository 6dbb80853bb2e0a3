"""The [counting] table, the command `counting bound`, and a keeper's calls over sockets."""

from __future__ import annotations

import asyncio
import json
import pathlib
import subprocess
import sys

import pytest

from embersill.configuration.operator import CountingTable, read_operator
from embersill.configuration.platform import BadConfiguration
from embersill.counting.keeper import Keeper
from embersill.counting.lines import Counting
from embersill.counting.placement import place_of
from embersill.counting.terms import Terms
from embersill.interface import Count, CounterResult, Outcome
from embersill.lab.counting.standin import FaultyCounter
from embersill.rig.settings import settings_object
from tests.bed import run
from tests.test_program import ROOT

EXAMPLE = (ROOT / "deploy" / "operator.example.toml").read_text()


def test_the_counting_table_of_the_example_holds_the_defaults(tmp_path: pathlib.Path) -> None:
    _, _, rest = EXAMPLE.partition("# [counting]")
    commented = rest.partition("# The gRPC")[0]
    path = tmp_path / "operator.toml"
    path.write_text("[counting]" + commented.replace("\n# ", "\n").replace("\n#\n", "\n"))
    assert read_operator(str(path)).counting == CountingTable()


@pytest.mark.parametrize(
    ("text", "reason"),
    [
        ("[counting]\ncounter = 1", "unknown field `counter`"),
        ("[counting]\ncounters = ['nowhere']", r"counting.counters\[0\]"),
        (
            "[counting]\ncounters = ['127.0.0.1:1', '127.0.0.1:1']",
            "counting.counters: an address stands twice",
        ),
        ("[counting.terms]\nsettle = 0.0", "counting.terms.settle: 0.0 is not from 2.0 to 30.0"),
        ("[counting.terms]\nsettled = 1.0", "unknown field `settled`"),
        ("role = 'planner'\n[counting]", "counting: a planner has no counter"),
    ],
)
def test_an_invalid_table_is_rejected_with_file_key_and_reason(
    text: str, reason: str, tmp_path: pathlib.Path
) -> None:
    path = tmp_path / "operator.toml"
    path.write_text(text)
    with pytest.raises(BadConfiguration, match=reason) as caught:
        read_operator(str(path))
    assert str(caught.value).startswith(str(path))


def bound(*arguments: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "embersill", "counting", "bound", *arguments]
    return subprocess.run(command, cwd=ROOT, text=True, capture_output=True, timeout=60, check=False)


def test_the_bound_is_printed_as_a_table_and_as_json(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps({"settings": settings_object(3)}))
    process = bound("--settings", str(path))
    assert process.returncode == 0 and "split" in process.stdout and "basis" in process.stdout, process.stderr
    rows = json.loads(bound("--settings", str(path), "--json").stdout)
    assert {row["plan"] for row in rows} == {"basis", "pro"} and {row["width"] for row in rows} == {2, 3}
    slower = tmp_path / "operator.toml"
    slower.write_text("[counting.terms]\nabsent_after = 10.0\n")
    later = json.loads(bound("--settings", str(path), "--operator", str(slower), "--json").stdout)
    changed = {row["trouble"] for row, other in zip(rows, later, strict=True) if row != other}
    assert changed == {"split", "cut"}
    process = bound("--settings", str(tmp_path / "none"))
    assert process.returncode == 2 and len(process.stderr.splitlines()) == 1


class CountingHarness:
    """A keeper with connections to stand-in counters, and the results for the module."""

    def __init__(self, places: list[str]) -> None:
        self.now = asyncio.get_running_loop().time
        self.results: asyncio.Queue[CounterResult] = asyncio.Queue()
        self.keeper = Keeper(Terms(), 0, 1, places)
        self.counting = Counting(self.keeper, self.now, 0.2, 0.2, self.results.put_nowait)

    async def count(self, customer: str, units: float, number: int) -> CounterResult:
        """Counts units; returns the next result."""
        epoch = int(self.now() // 60.0)
        self.counting.count(Count(f"{customer}.{epoch}", units, 60.0, 0, 1, 4.0, True, 0.0, number))
        return await self.results.get()


def test_a_counter_that_answers_no_call_does_not_affect_the_other() -> None:
    async def test() -> None:
        first, second = FaultyCounter(["a"]), FaultyCounter(["a"])
        await first.start()
        await second.start()
        places = [first.addresses["a"], second.addresses["a"]]
        harness = CountingHarness(places)
        customer_of_first = next(f"c{n}" for n in range(99) if place_of(f"c{n}", places) == places[0])
        customer_of_second = next(f"c{n}" for n in range(99) if place_of(f"c{n}", places) == places[1])
        first.lost = True
        for number in range(1, 5):
            result = await harness.count(customer_of_first, 1.0, number)
            assert result.alone and result.outcome is not Outcome.SERVED and result.call == number
            result = await harness.count(customer_of_second, 1.0, 100 + number)
            assert result.outcome is Outcome.SERVED and result.total == float(number)
        assert result.call == 104
        harness.counting.close()
        first.close()
        second.close()

    run(test)


def test_sums_move_at_a_reload_and_late_answers_confirm_uncertain_units() -> None:
    async def test() -> None:
        first, second = FaultyCounter(["a"]), FaultyCounter(["a"])
        await first.start()
        await second.start()
        harness = CountingHarness([first.addresses["a"]])
        assert (await harness.count("c", 5.0, 1)).total == 5.0
        first.slow = 0.3
        assert (await harness.count("c", 2.0, 2)).outcome is Outcome.TIMED_OUT
        account = next(iter(harness.keeper.counters[first.addresses["a"]].accounts.values()))
        assert account.uncertain_units == 2.0
        while account.uncertain_units:
            await asyncio.sleep(0.01)  # until the late answer has arrived
        assert account.used == 7.0
        harness.counting.move_all([second.addresses["a"]])
        assert (await harness.count("c", 1.0, 3)).total == 8.0
        harness.counting.leave()
        harness.counting.close()
        first.close()
        second.close()

    run(test)
