"""Fuzzing engines: mutated inputs from a seed, or coverage-guided ones where atheris is installed.

The seeded engine is for CI: it is deterministic and runs a fixed number of inputs. Atheris (libFuzzer for
Python) is for finding faults: it instruments the product's modules and keeps inputs that reach new code.
Hypothesis is not used: it generates well-formed inputs from a description, while code that reads bytes from
outside must be tested with malformed ones.
"""

from __future__ import annotations

import random
import sys
import traceback
from dataclasses import dataclass
from pathlib import Path

from embersill.lab.fuzzing.corpus import TOKENS, read_corpus

MAX_INPUT_BYTES = 16 * 1024
MAX_MUTATIONS = 5


@dataclass
class Finding:
    """An input on which a target raised an exception, and the exception as text."""

    target: str
    data: bytes
    error: str


def mutate(rng: random.Random, inputs: list[bytes]) -> bytes:
    """Returns one of the inputs with a few random changes."""
    data = bytearray(rng.choice(inputs))
    for _ in range(rng.randint(1, MAX_MUTATIONS)):
        position = rng.randrange(len(data) + 1)
        size = min(int(rng.expovariate(0.1)) + 1, len(data) - position)
        kind = rng.randrange(8)
        if kind == 0 and size > 0:
            data[position] ^= 1 << rng.randrange(8)
        elif kind == 1 and size > 0:
            data[position] = rng.randrange(256)
        elif kind == 2:
            del data[position : position + size]
        elif kind == 3:
            data[position:position] = data[position : position + size]
        elif kind == 4:
            data[position:position] = rng.choice(TOKENS)
        elif kind == 5:
            token = rng.choice(TOKENS)
            data[position : position + len(token)] = token
        elif kind == 6:
            other = rng.choice(inputs)
            cut = rng.randrange(len(other) + 1)
            data[position:] = other[cut:]
        else:
            del data[position:]
    return bytes(data[:MAX_INPUT_BYTES])


def run_input(target: str, data: bytes) -> Finding | None:
    """Runs one input; returns a finding if the target raises."""
    from embersill.lab.fuzzing.targets import TARGETS

    try:
        TARGETS[target](data)
    except Exception as error:
        last = traceback.extract_tb(error.__traceback__)[-1]
        return Finding(
            target, data, f"{type(error).__name__}: {error} ({Path(last.filename).name}:{last.lineno})"
        )
    return None


def run_seeded(
    target: str, seed: int, mutated_count: int, folder: Path | None = None
) -> tuple[int, Finding | None]:
    """Runs the corpus and mutated inputs; returns how many ran, and the first finding."""
    inputs = read_corpus(folder, target)
    rng = random.Random(f"{seed}/{target}")
    for number in range(len(inputs) + mutated_count):
        data = inputs[number] if number < len(inputs) else mutate(rng, inputs)
        finding = run_input(target, data)
        if finding is not None:
            return number + 1, finding
    return len(inputs) + mutated_count, None


def run_guided(target: str, seconds: int, folder: Path) -> None:
    """Runs atheris on one target for a time; new inputs are stored in the folder. Does not return."""
    import atheris  # an optional dependency: requirements-fuzz.txt

    with atheris.instrument_imports(include=["embersill"]):
        from embersill.lab.fuzzing.targets import TARGETS
    target_folder = folder / target
    target_folder.mkdir(parents=True, exist_ok=True)
    for number, data in enumerate(read_corpus(None, target)):
        (target_folder / f"seed-{number}").write_bytes(data)
    atheris.Setup(
        [
            sys.argv[0],
            str(target_folder),
            f"-max_total_time={seconds}",
            f"-max_len={MAX_INPUT_BYTES}",
            f"-artifact_prefix={folder}/{target}-",
            "-print_final_stats=1",
        ],
        TARGETS[target],
    )
    atheris.Fuzz()
