"""The README's example runs as printed."""

from __future__ import annotations

import contextlib
import io
import pathlib

README = (pathlib.Path(__file__).parent.parent / "README.md").read_text()


def test_example_prints_what_the_readme_says() -> None:
    code = README.split("```python\n")[1].split("```")[0]
    said = README.split("It prints\n\n")[1].split("\n\n")[0]
    out = io.StringIO()
    with contextlib.redirect_stdout(out):
        exec(compile(code, "README", "exec"), {"__name__": "readme"})
    assert out.getvalue().splitlines() == [line.strip() for line in said.splitlines()]
