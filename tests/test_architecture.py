"""The architecture page names files and functions that are there."""

from __future__ import annotations

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
EDGE = ROOT / "embersill" / "edge"
PAGE = (ROOT / "docs" / "ARCHITECTURE.md").read_text()
QUESTIONS = [line.split("|")[1:3] for line in PAGE.split("## Ten questions")[1].splitlines() if "?" in line]
NAMED = [
    (question.strip(), path, name)
    for question, where in QUESTIONS
    for path, name in re.findall(r"`([\w/]+\.py)` `([\w.]+)`", where)
]


def defined(path: Path) -> set[str]:
    """Functions, classes and methods of a file, methods as `Class.method`."""
    found = set[str]()
    for item in ast.parse(path.read_text()).body:
        if isinstance(item, ast.FunctionDef | ast.ClassDef):
            found.add(item.name)
        if isinstance(item, ast.ClassDef):
            found |= {f"{item.name}.{one.name}" for one in item.body if isinstance(one, ast.FunctionDef)}
    return found


@pytest.mark.parametrize(("question", "path", "name"), NAMED)
def test_an_answer_is_where_the_page_says(question: str, path: str, name: str) -> None:
    assert name in defined(EDGE / path)


def test_ten_questions_and_every_folder_are_on_the_page() -> None:
    assert len(QUESTIONS) == 10 and len(NAMED) >= 10
    folders = {path.name for path in EDGE.iterdir() if (path / "__init__.py").is_file()}
    files = {path.name for path in EDGE.glob("*.py")} - {"__init__.py", "__main__.py", "local.py", "logs.py"}
    told = set(re.findall(r"`([\w/.]+)`", PAGE.split("## How things travel")[0]))
    assert {f"{folder}/" for folder in folders} | files <= told


def test_functions_that_are_named_in_the_text_are_there() -> None:
    text = PAGE.split("## How things travel")[1].split("## Ten questions")[0]
    everywhere = set[str]().union(*(defined(path) for path in EDGE.rglob("*.py")))
    named = set(re.findall(r"`([A-Z]\w+\.\w+)`", text))
    assert named and named <= everywhere, named - everywhere
