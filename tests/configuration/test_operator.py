"""The operator's file is validated completely, and every error names the file, the key and the reason."""

from __future__ import annotations

import json
import os
import pathlib
import subprocess
import sys

import pytest

from embersill.configuration.operator import read_operator
from embersill.configuration.platform import BadConfiguration
from embersill.ratelimit.settings import AnswerTable, AskTable, RuleTable
from embersill.tiers.terms import Terms
from tests.test_program import ROOT, told

EXAMPLE = (ROOT / "deploy" / "operator.example.toml").read_text()


def write_operator_file(folder: pathlib.Path, text: str, secret: str = "s" * 32) -> str:
    (folder / "tiers.secret").write_text(secret)
    path = folder / "operator.toml"
    path.write_text(text)
    return str(path)


def test_the_example_is_the_defaults(tmp_path: pathlib.Path) -> None:
    operator = read_operator(write_operator_file(tmp_path, EXAMPLE))
    assert operator.role == "forwarder" and operator.tiers is not None
    assert operator.tiers.terms == Terms() and operator.tiers.secret == b"s" * 32
    assert operator.tiers.planners == {"p1": ("127.0.0.1", 7101), "p2": ("127.0.0.1", 7102)}


def test_the_examples_rate_limits_are_the_defaults(tmp_path: pathlib.Path) -> None:
    _, _, commented = EXAMPLE.partition("# [ratelimit.answer]")
    text = "[ratelimit.answer]" + commented.replace("\n# ", "\n").replace("\n#\n", "\n")
    told = read_operator(write_operator_file(tmp_path, text)).ratelimit
    assert told is not None and told.answer is not None and told.ask is not None
    assert told.answer == AnswerTable(
        "127.0.0.1:8081", [RuleTable("lookup", {"api": "report"}, "account", plan="pro")]
    )
    assert told.ask == AskTable(["127.0.0.1:9001"], "lookup", ["pro"])
    planner = EXAMPLE.replace('role = "forwarder"', 'role = "planner"')
    with pytest.raises(BadConfiguration, match="a forwarder decides nothing"):
        read_operator(write_operator_file(tmp_path, EXAMPLE + text))
    with pytest.raises(BadConfiguration, match="override: not at a planner"):
        read_operator(write_operator_file(tmp_path, planner + text.replace('"ignore"', '"apply"')))


@pytest.mark.parametrize(
    ("old", "new", "reason"),
    [
        ("parts = 64", "part = 64", "unknown field `part`"),
        ("parts = 64", "parts = '64'", "Expected `int`"),
        ("most_unsent_bytes = 67108864", "most_unsent_bytes = 1000000", "takes up to 400 bytes each"),
        ("parts = 64", "parts = 0", "tiers.parts: 0 is not from 1 to 4096"),
        ('role = "forwarder"', 'role = "boss"', "Invalid enum value 'boss'"),
        ('role = "forwarder"', 'role = "forwarder"\nrules = 1', "unknown field `rules`"),
        ("lease = 0.9", "leash = 0.9", "unknown field `leash`"),
        ("lease = 0.9", "lease = 0.5", "tiers.terms: lease must be at least twice fresh"),
        ("fresh = 0.4", "fresh = 0.6", "tiers.terms: fresh must be"),
        ("beat_every = 0.05", "beat_every = 0.3", "tiers.terms: beat_every"),
        ('p2 = "127.0.0.1:7102"', 'p2 = "127.0.0.1:7101"', "an address stands twice"),
        ('p2 = "127.0.0.1:7102"', 'p2 = "somewhere"', "tiers.planners.p2: not an address"),
        ('"f4", "f5"', '"f4", "f4"', "a name stands twice"),
        ('"f1", "f2", "f3", "f4", "f5"', "", "must be 1 to 256"),
        ("[tiers]", "[tiers", "Expected ']'"),
        ("tiers.secret", "none.secret", "No such file"),
    ],
)
def test_invalid_settings_are_refused_with_their_reason(
    tmp_path: pathlib.Path, old: str, new: str, reason: str
) -> None:
    assert old in EXAMPLE
    with pytest.raises(BadConfiguration) as error:
        read_operator(write_operator_file(tmp_path, EXAMPLE.replace(old, new)))
    assert reason in str(error.value) and str(tmp_path) in str(error.value)
    assert "\n" not in str(error.value)


def test_a_short_secret_and_a_role_without_its_table_are_refused(tmp_path: pathlib.Path) -> None:
    with pytest.raises(BadConfiguration, match="fewer than 16 bytes"):
        read_operator(write_operator_file(tmp_path, EXAMPLE, "short"))
    with pytest.raises(BadConfiguration, match="needs the table tiers"):
        read_operator(write_operator_file(tmp_path, 'role = "planner"'))
    assert read_operator(write_operator_file(tmp_path, "")).role == "gateway"


def run(folder: pathlib.Path, *arguments: str, **environ: str) -> subprocess.CompletedProcess[str]:
    path = folder / "config.json"
    path.write_text(json.dumps({**told(), "name": "n0"}))
    kept = {k: v for k, v in os.environ.items() if not k.startswith(("RELAY_", "EMBERSILL_"))}
    return subprocess.run(
        [sys.executable, "-m", "embersill", *arguments],
        cwd=ROOT,
        text=True,
        env={**kept, "RELAY_CONFIG": str(path), **environ},
        capture_output=True,
        timeout=60,
        check=False,
    )


@pytest.mark.parametrize("role", ["forwarder", "planner"])
def test_a_process_that_is_no_member_says_so_in_one_line(tmp_path: pathlib.Path, role: str) -> None:
    path = write_operator_file(tmp_path, EXAMPLE.replace('"forwarder"', f'"{role}"'))
    by_flag, by_variable = run(tmp_path, "--operator", path), run(tmp_path, EMBERSILL_OPERATOR=path)
    for done in (by_flag, by_variable):
        assert done.returncode == 2 and len(done.stderr.splitlines()) == 1
        assert "n0" in done.stderr and "is not among them" in done.stderr


def test_without_an_operator_file_no_new_library_is_loaded() -> None:
    code = (
        "import sys; from embersill import __main__, adapter; import embersill.roles; "
        "print(sorted(m for m in sys.modules if m.partition('.')[0] in ('msgspec', 'rich', 'grpc') "
        "or m.startswith(('embersill.tiers', 'embersill.lab', 'embersill.ratelimit', "
        "'embersill.configuration.operator'))))"
    )
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, text=True, capture_output=True, check=True)
    assert done.stdout.strip() == "[]"
