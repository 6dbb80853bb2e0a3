"""[counting] of the operator file: how far the counter is trusted, and what is done without it."""

from __future__ import annotations

import msgspec

BEAT = 1.0  # seconds between a gateway's heartbeat marks, whose names are whole seconds of the shared clock
MARK_LIFE = 60.0  # seconds, from its creation, for which a counter keeps a name at most
MIN_ABSENT_AFTER = 2.0 * BEAT  # one lost mark, and the delay of the next one


class Terms(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Durations are in seconds; beside each limit stands what happens when it is reached."""

    absent_after: float = 2.5  # without a mark in the counter, a gateway is taken to be cut off from it
    release_after: float = 60.0  # without a mark, it is taken to be dead and its share is released; 0: never
    settle: float = 3.0  # after a loss, sums are not trusted if they are lower than before
    silent_from: int = 3  # consecutive calls without a result, after which the counter is not called
    back_off: float = 0.25  # the time without calls; it doubles with each further failure, up to:
    most_back_off: float = 2.0
    repays_a_beat: int = 200  # lost sums restored at each beat; others wait for the next beat or use
    most_names: int = 50_000  # running sums remembered; further ones are counted but not restored
    most_calls: int = 10_000  # calls in flight; further ones fail at once, as with a silent counter
    most_groups: int = 8  # mark names read at each beat; gateways beyond these are taken to be present

    @property
    def detection(self) -> float:
        """Seconds until a cut is detected, at most: a mark was just read, and is aged out a beat late."""
        return self.absent_after + 2 * BEAT


def check_terms(terms: Terms) -> None:
    """Raises ValueError with the invalid key and the reason."""
    limits: dict[str, tuple[float, float, float]] = {
        "absent_after": (terms.absent_after, MIN_ABSENT_AFTER, 30.0),
        "settle": (terms.settle, 2 * BEAT, 30.0),
        "silent_from": (terms.silent_from, 1, 100),
        "back_off": (terms.back_off, 0.01, 10.0),
        "most_back_off": (terms.most_back_off, terms.back_off, 30.0),
        "repays_a_beat": (terms.repays_a_beat, 1, 10_000),
        "most_names": (terms.most_names, 1, 10_000_000),
        "most_calls": (terms.most_calls, 1, 1_000_000),
        "most_groups": (terms.most_groups, 1, 256),
    }
    for key, (value, low, high) in limits.items():
        if not low <= value <= high:
            raise ValueError(f"{key}: {value} is not from {low} to {high}")
    if terms.release_after and terms.release_after < terms.absent_after:
        raise ValueError("release_after: must be 0 or at least absent_after")
