"""Cuts a failing schedule of the counters down, and tells it as a story."""

from __future__ import annotations

from embersill.lab.counting import world
from embersill.lab.shortening import Shortening

_of_world = Shortening(world)
breaks, shorten, story = _of_world.breaks, _of_world.shorten, _of_world.story
