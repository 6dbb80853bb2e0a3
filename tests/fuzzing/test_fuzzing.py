"""A seeded slice of the fuzzing, the inputs that once were findings, and proof that the targets see."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import msgspec
import pytest

from embersill.lab.fuzzing.corpus import SEEDS, read_corpus
from embersill.lab.fuzzing.engine import run_input, run_seeded
from embersill.lab.fuzzing.targets import TARGETS
from embersill.net.calls import CallReader
from embersill.net.discovery import BadList, read_listing
from embersill.tiers.messages import Ask, BadFrame, Batch, Cancelled, Lend, Spent, read_batch

CORPUS = Path(__file__).parent / "corpus"
INPUTS = {"heads": 400, "answers": 300}  # the others run 2,000


def test_every_target_has_inputs_and_the_other_way_round() -> None:
    assert TARGETS.keys() == SEEDS.keys()
    assert {path.name for path in CORPUS.iterdir()} <= TARGETS.keys()


@pytest.mark.parametrize("target", TARGETS)
def test_nothing_falls_over(target: str) -> None:
    ran, found = run_seeded(target, 1, INPUTS.get(target, 2000), CORPUS)
    assert found is None, found
    assert ran > INPUTS.get(target, 2000)


def test_a_seed_has_the_same_inputs() -> None:
    ran: list[list[bytes]] = [[], []]
    for inputs in ran:
        TARGETS["counter"], kept = inputs.append, TARGETS["counter"]
        try:
            run_seeded("counter", 5, 50)
        finally:
            TARGETS["counter"] = kept
    assert ran[0] == ran[1] and len(set(ran[0])) > 40


def test_a_request_that_goes_on_with_two_framings_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    head = CallReader.head

    def passes(self: CallReader, *args: Any) -> bytes:
        return head(self, *args) + b"Transfer-Encoding: chunked\r\n"

    monkeypatch.setattr(CallReader, "head", passes)
    found = run_input("heads", read_corpus(None, "heads")[1])
    assert found is not None and "transfer encoding" in found.error


@pytest.mark.parametrize("weight", ["NaN", "Infinity", "1e999", "-1"])
def test_a_list_with_figures_that_are_none_is_refused(weight: str) -> None:
    entry = f'{{"instanceId": "s", "hostPort": "h:1", "lifecycle": "SERVING", "weight": {weight}}}'
    with pytest.raises(BadList):
        read_listing(json.loads(f'{{"generation": 1, "reset": true, "instances": [{entry}]}}'))


@pytest.mark.parametrize(
    "message",
    [
        Ask(1, "extract", "pro", "c", 3.0, float("nan"), False),
        Ask(1, "extract", "pro", "c", 3.0, -2.0, False),  # would give what it should take
        Ask(1, "extract", "pro", "c" * 300, 3.0, 1.0, False),
        Cancelled(1, -1),
        Lend([-1], 1.0, 0.0),
        Lend([0], float("inf"), 0.0),
        Spent([("c", "pro", [(1.0, -5.0)])]),
    ],
)
def test_frames_with_figures_out_of_bounds_are_refused(message: Ask) -> None:
    with pytest.raises(BadFrame):
        read_batch(msgspec.msgpack.encode(Batch(1, 0, 0, [message])))
