"""What the parts of a gateway share while they decide: time, settings, random numbers, pending actions."""

from __future__ import annotations

import random

from embersill.interface import Action, Settings


class Turn:
    """The context of handling one event: `now` in seconds, and the resulting actions in order."""

    __slots__ = ("actions", "classes", "now", "plans", "random", "settings")

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        self.now = now
        self.random = random.Random(seed)
        self.actions: list[Action] = []
        self.configure(settings)

    def configure(self, settings: Settings) -> None:
        """Uses these settings from now on; ValueError names one that is out of range."""
        check(settings)
        self.settings = settings
        self.classes = {c.name: c for c in settings.classes}
        self.plans = {p.name: p for p in settings.plans}


def check(settings: Settings) -> None:
    """Raises a ValueError that names a setting out of range, if there is one."""
    if settings.gateways < 1 or settings.max_attempts < 1:
        raise ValueError(f"settings: {'gateways' if settings.gateways < 1 else 'max_attempts'} is below 1")
    names = ("warm_within", "overload_for", "fall_multiple", "cold_from", "max_retry_after", "ask_every")
    sets: list[tuple[object, str, tuple[str, ...]]] = [(settings, "", names)]
    figures = ("rate", "burst", "ceiling_rate", "ceiling_depth", "concurrency")
    sets += [(plan, f" of plan {plan.name}", figures) for plan in settings.plans]
    sets += [(klass, f" of class {klass.name}", ("aim", "deadline", "memory")) for klass in settings.classes]
    for source, where, keys in sets:
        for name in keys:
            if getattr(source, name) < 0:
                raise ValueError(f"settings: {name}{where} is negative")
