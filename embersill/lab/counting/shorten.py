"""Shortens a failing schedule of the counting world and describes it as a list of events."""

from __future__ import annotations

from embersill.lab.counting import world
from embersill.lab.shortening import Shortening

_shortening = Shortening(world)
breaks, shorten, story = _shortening.breaks, _shortening.shorten, _shortening.story
