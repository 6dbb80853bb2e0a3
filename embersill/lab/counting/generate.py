"""A schedule from a seed: customers, and troubles of the counter. Everything is drawn here. No I/O."""

from __future__ import annotations

import random
from typing import Any

from embersill.world.schedules import Schedule, Step
from embersill.world.swarm import log_uniform, random_subset

KINDS = (
    "outage",
    "slow",
    "swap",
    "back",
    "split",
    "cut",
    "kill",
    "stop",
    "move",
    "long silence",
    "long split",
    "loss in trouble",
    "there and back",
)
WARM = 7.0  # seconds from which troubles come
LAST_TROUBLE = 0.5  # of a run's seconds: what comes after it shows whether all is well again


def customers_of(chance: random.Random, gateways: int) -> list[dict[str, Any]]:
    """Some well under their quotas, some at them, some far over: what they ask for is drawn as a part."""
    made = []
    for _ in range(chance.randint(2, 5)):
        plan, rate = chance.choice((("basis", 4.0), ("pro", 12.0)))
        units = chance.randint(1, 3)
        asks = chance.choice((0.3, 0.45, 0.9, 1.5, 3.0, 5.0))
        made.append(
            {
                "plan": plan,
                "width": chance.randint(2, gateways),
                "first": chance.randrange(gateways),
                "units": units,
                "tries": round(asks * rate / ((1 + units) / 2), 3),
                "uneven": chance.choice((0.0, 0.5, 0.9, 1.0)),
            }
        )
    return made


def trouble(chance: random.Random, kind: str, at: float, gateways: int, counters: int) -> list[Step]:
    who = f"g{chance.randrange(gateways)}"
    counter = chance.randrange(counters)
    seconds = round(log_uniform(chance, 0.3, 9.0), 2)
    age = round(log_uniform(chance, 1.0, 30.0), 2)
    if kind == "outage":
        back = chance.choice(("kept", "empty", "stale"))
        how = chance.choice(("lost", "refused", "deaf", "busy"))
        return [
            Step(
                "outage", at, seconds=seconds, args={"how": how, "back": back, "age": age, "counter": counter}
            )
        ]
    if kind == "long silence":  # traffic moves, and a gateway dies in it
        long = round(chance.uniform(5.0, 12.0), 2)
        steps = [Step("outage", at, seconds=long, args={"how": "lost", "counter": counter})]
        if chance.random() < 0.5:
            steps.append(Step("kill", at + long * chance.random(), who=who, seconds=1.0))
        return steps
    if kind == "loss in trouble":  # what is told anew after a loss meets the next trouble
        steps = [Step("swap", at, args={"counter": counter})]
        follow = round(at + chance.uniform(0.02, 1.3), 2)
        how = chance.choice(("busy", "refused", "lost", "deaf"))
        steps.append(
            Step(
                "outage",
                follow,
                seconds=round(chance.uniform(0.3, 2.5), 2),
                args={"how": how, "counter": counter},
            )
        )
        return steps
    if kind == "there and back":
        later = round(at + log_uniform(chance, 0.1, 8.0), 2)
        steps = [Step("move", at, args={"counters": [1]}), Step("move", later, args={"counters": [0]})]
        if chance.random() < 0.5:  # calls are out while names move
            for number in (0, 1):
                steps.append(
                    Step(
                        "slow",
                        round(at - 0.2, 2),
                        seconds=1.5,
                        args={"factor": round(chance.uniform(3.0, 12.0), 1), "counter": number},
                    )
                )
        return sorted(steps, key=lambda step: step.at)
    if kind == "slow":
        return [
            Step(
                "slow",
                at,
                seconds=seconds,
                args={"factor": round(chance.uniform(2.0, 80.0), 1), "counter": counter},
            )
        ]
    if kind == "swap":
        return [Step("swap", at, args={"counter": counter})]
    if kind == "back":
        return [Step("back", at, args={"age": age, "counter": counter})]
    if kind in ("split", "long split"):
        other = [n for n in range(gateways) if chance.random() < 0.5] or [gateways - 1]
        least, most = (1.0, 15.0) if kind == "split" else (25.0, 40.0)
        return [
            Step(
                "split",
                at,
                seconds=round(chance.uniform(least, most), 2),
                args={"other": other, "keep": chance.randrange(2), "counter": counter},
            )
        ]
    if kind == "move":
        return [Step("move", at, args={"counters": chance.choice(([0], [1], [0, 1]))})]
    return [Step(kind, at, who=who, seconds=seconds)]


def generate(seed: int, focus: tuple[str, ...] = ()) -> Schedule:
    """The schedule of a seed. `focus`: kinds of trouble that it must have."""
    chance = random.Random(f"counting {seed}")
    gateways = chance.randint(2, 4)
    counters = chance.choice((1, 1, 2))
    # half of the seeds have one trouble: where several meet, more is unsure, and less would be noticed
    alone = chance.random() < 0.5
    kinds = [chance.choice(KINDS)] if alone else random_subset(chance, KINDS, 0.2)
    kinds += [kind for kind in focus if kind in KINDS]
    seconds = 57.0 if "long split" in kinds else chance.choice((28.0, 34.0, 47.0))
    shape: dict[str, Any] = {
        "gateways": gateways,
        "counters": counters,
        "seconds": seconds,
        # near an epoch's end in some: then what comes after the troubles is an epoch without any
        "start": 1.0 if "long split" in kinds else chance.choice((1.0, 8.0, round(60.0 - seconds * 0.6, 1))),
        "skew": chance.choice((0.0, 0.3)),
        "turn_every": chance.choice((2.0, 5.0, 11.0)),
        "customers": customers_of(chance, gateways),
        "terms": {"release_after": chance.choice((0.0, 60.0))},
    }
    steps: list[Step] = []
    for kind in kinds:
        for _ in range(1 if alone else chance.choice((1, 1, 2))):
            latest = 12.0 if kind == "long split" else seconds * LAST_TROUBLE
            at = round(chance.uniform(WARM, latest), 2)
            steps += trouble(chance, kind, at, gateways, counters)
    return Schedule(seed, shape, sorted(steps, key=lambda step: step.at))
