"""Generates a schedule from a seed: customers and counter troubles. All random choices are here. No I/O."""

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
FIRST_TROUBLE_S = 7.0
LAST_TROUBLE_SHARE = 0.5  # of a run; the rest shows whether the gateways have recovered


def draw_customers(rng: random.Random, gateways: int) -> list[dict[str, Any]]:
    """Draws customers whose demand, a share of the quota, is well below it, close to it or far above it."""
    customers = []
    for _ in range(rng.randint(2, 5)):
        plan, rate = rng.choice((("basis", 4.0), ("pro", 12.0)))
        units = rng.randint(1, 3)
        demand = rng.choice((0.3, 0.45, 0.9, 1.5, 3.0, 5.0))
        customers.append(
            {
                "plan": plan,
                "width": rng.randint(2, gateways),
                "first": rng.randrange(gateways),
                "units": units,
                "tries": round(demand * rate / ((1 + units) / 2), 3),
                "uneven": rng.choice((0.0, 0.5, 0.9, 1.0)),
            }
        )
    return customers


def draw_trouble(rng: random.Random, kind: str, at: float, gateways: int, counters: int) -> list[Step]:
    """Draws the steps of one trouble of a kind that starts at a time."""
    gateway = f"g{rng.randrange(gateways)}"
    counter = rng.randrange(counters)
    seconds = round(log_uniform(rng, 0.3, 9.0), 2)
    age = round(log_uniform(rng, 1.0, 30.0), 2)
    if kind == "outage":
        back = rng.choice(("kept", "empty", "stale"))
        how = rng.choice(("lost", "refused", "deaf", "busy"))
        return [
            Step(
                "outage", at, seconds=seconds, args={"how": how, "back": back, "age": age, "counter": counter}
            )
        ]
    if kind == "long silence":  # traffic moves to other gateways, and a gateway may crash meanwhile
        duration = round(rng.uniform(5.0, 12.0), 2)
        steps = [Step("outage", at, seconds=duration, args={"how": "lost", "counter": counter})]
        if rng.random() < 0.5:
            steps.append(Step("kill", at + duration * rng.random(), who=gateway, seconds=1.0))
        return steps
    if kind == "loss in trouble":  # use is restored after a loss while the next trouble starts
        steps = [Step("swap", at, args={"counter": counter})]
        next_at = round(at + rng.uniform(0.02, 1.3), 2)
        how = rng.choice(("busy", "refused", "lost", "deaf"))
        steps.append(
            Step(
                "outage",
                next_at,
                seconds=round(rng.uniform(0.3, 2.5), 2),
                args={"how": how, "counter": counter},
            )
        )
        return steps
    if kind == "there and back":
        return_at = round(at + log_uniform(rng, 0.1, 8.0), 2)
        steps = [Step("move", at, args={"counters": [1]}), Step("move", return_at, args={"counters": [0]})]
        if rng.random() < 0.5:  # so that calls are in flight while names move
            for number in (0, 1):
                steps.append(
                    Step(
                        "slow",
                        round(at - 0.2, 2),
                        seconds=1.5,
                        args={"factor": round(rng.uniform(3.0, 12.0), 1), "counter": number},
                    )
                )
        return sorted(steps, key=lambda step: step.at)
    if kind == "slow":
        return [
            Step(
                "slow",
                at,
                seconds=seconds,
                args={"factor": round(rng.uniform(2.0, 80.0), 1), "counter": counter},
            )
        ]
    if kind == "swap":
        return [Step("swap", at, args={"counter": counter})]
    if kind == "back":
        return [Step("back", at, args={"age": age, "counter": counter})]
    if kind in ("split", "long split"):
        other_gateways = [n for n in range(gateways) if rng.random() < 0.5] or [gateways - 1]
        shortest, longest = (1.0, 15.0) if kind == "split" else (25.0, 40.0)
        return [
            Step(
                "split",
                at,
                seconds=round(rng.uniform(shortest, longest), 2),
                args={"other": other_gateways, "keep": rng.randrange(2), "counter": counter},
            )
        ]
    if kind == "move":
        return [Step("move", at, args={"counters": rng.choice(([0], [1], [0, 1]))})]
    return [Step(kind, at, who=gateway, seconds=seconds)]


def generate(seed: int, focus: tuple[str, ...] = ()) -> Schedule:
    """Returns the schedule of a seed. `focus`: kinds of trouble that it must contain."""
    rng = random.Random(f"counting {seed}")
    gateways = rng.randint(2, 4)
    counters = rng.choice((1, 1, 2))
    # half of the seeds have one trouble: several at once leave more uncertain, so that the bounds catch less
    single = rng.random() < 0.5
    kinds = [rng.choice(KINDS)] if single else random_subset(rng, KINDS, 0.2)
    kinds += [kind for kind in focus if kind in KINDS]
    seconds = 57.0 if "long split" in kinds else rng.choice((28.0, 34.0, 47.0))
    shape: dict[str, Any] = {
        "gateways": gateways,
        "counters": counters,
        "seconds": seconds,
        # some start near the end of an epoch, so that the troubles are followed by an epoch without any
        "start": 1.0 if "long split" in kinds else rng.choice((1.0, 8.0, round(60.0 - seconds * 0.6, 1))),
        "skew": rng.choice((0.0, 0.3)),
        "turn_every": rng.choice((2.0, 5.0, 11.0)),
        "customers": draw_customers(rng, gateways),
        "terms": {"release_after": rng.choice((0.0, 60.0))},
    }
    steps: list[Step] = []
    for kind in kinds:
        for _ in range(1 if single else rng.choice((1, 1, 2))):
            latest = 12.0 if kind == "long split" else seconds * LAST_TROUBLE_SHARE
            at = round(rng.uniform(FIRST_TROUBLE_S, latest), 2)
            steps += draw_trouble(rng, kind, at, gateways, counters)
    return Schedule(seed, shape, sorted(steps, key=lambda step: step.at))
