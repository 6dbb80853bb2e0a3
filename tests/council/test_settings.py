"""The [council] table of the operator file: its example, and what is refused."""

from __future__ import annotations

import pathlib

import pytest

from embersill.configuration.operator import read_operator
from embersill.configuration.platform import BadConfiguration
from embersill.council.probes import ProbeSettings
from embersill.council.terms import CouncilTerms
from tests.configuration.test_operator import EXAMPLE, write_operator_file

PLANNER = EXAMPLE.replace('role = "forwarder"', 'role = "planner"')
COUNCIL = "[council]" + EXAMPLE.partition("# [council]")[2].partition("# What a gateway")[0].replace(
    "\n# ", "\n"
).replace("\n#\n", "\n")


def test_the_example_shows_the_defaults(tmp_path: pathlib.Path) -> None:
    council = read_operator(write_operator_file(tmp_path, PLANNER + COUNCIL)).council
    assert council is not None and council.terms == CouncilTerms() and council.probes == ProbeSettings()
    assert council.state == tmp_path / "council" and council.prefer == {"export": ["p2"]}
    assert council.export is not None and council.export.period == 3600.0
    assert read_operator(write_operator_file(tmp_path, PLANNER)).council is None


@pytest.mark.parametrize(
    ("old", "new", "reason"),
    [
        ('state = "council"', 'stat = "council"', "unknown field `stat`"),
        ('state = "council"', 'state = ""', "council.state"),
        ('p2 = "127.0.0.1:7202"\n', "", "must be the planners"),
        ("127.0.0.1:7202", "127.0.0.1:7201", "council.members: duplicate address"),
        ("127.0.0.1:7202", "nowhere", "council.members.p2"),
        ("renew_every = 0.1", "renew_every = 0.2", "a third of the lease"),
        ("attempt = 0.15", "attempt = 0.5", "at most the lease"),
        ("back_off = 0.02", "back_off = 0.5", "at most most_back_off"),
        ("settle_back = 30.0", "settle_back = 0.1", "settle_back at least"),
        ("within = 2.0", "within = 0.1", "within must be at least attempt"),
        ("stagger = 0.03", "stagger = -1.0", "stagger must be at least 0"),
        ("http://127.0.0.1:9100", "127.0.0.1:9100", "council.export.billing"),
        ("http://127.0.0.1:9100", "http://127.0.0.1:x", "council.export.billing"),
        ("period = 3600.0", "period = 0.5", "council.export.period"),
        ("per_second = 4.0", "per_second = 0.0", "council.probes.per_second"),
        ('path = ""', 'path = "x"', "council.probes.path"),
        ('export = ["p2"]', 'expert = ["p2"]', "no office 'expert'"),
        ('export = ["p2"]', 'export = ["p3"]', "council.prefer.export"),
    ],
)
def test_invalid_settings_are_refused_with_their_key(
    tmp_path: pathlib.Path, old: str, new: str, reason: str
) -> None:
    assert old in COUNCIL
    with pytest.raises(BadConfiguration, match=reason):
        read_operator(write_operator_file(tmp_path, PLANNER + COUNCIL.replace(old, new, 1)))


def test_only_planners_can_be_members(tmp_path: pathlib.Path) -> None:
    with pytest.raises(BadConfiguration, match="a forwarder cannot be a member"):
        read_operator(write_operator_file(tmp_path, EXAMPLE + COUNCIL))
