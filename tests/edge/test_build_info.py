"""A gateway tells which program it is, so that one run shows which sources it was played with."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import embersill
from embersill.edge.build_info import hash_sources, read_build_info
from embersill.edge.dataplane.metrics import info_line
from embersill.edge.program import GatewayProcess
from tests.edge.test_sockets import Backend, answer, call, run_scenario

PACKAGE = Path(embersill.__file__).resolve().parent


def run_python(folder: Path, *arguments: str) -> subprocess.CompletedProcess[str]:
    """Runs Python in a folder, with nothing set but the libraries."""
    environment = {"PYTHONPATH": ":".join(path for path in sys.path if "site-packages" in path)}
    command = [sys.executable, "-B", *arguments]
    return subprocess.run(command, cwd=folder, env=environment, capture_output=True, text=True, timeout=20)


def test_the_hash_is_of_paths_and_contents_of_sources(tmp_path: Path) -> None:
    module = tmp_path / "part" / "module.py"
    module.parent.mkdir()
    module.write_text("A = 1\n")
    before = hash_sources(str(tmp_path))
    (module.parent / "module.pyc").write_bytes(b"other")
    assert hash_sources(str(tmp_path)) == before
    module.write_text("A = 2\n")
    changed = hash_sources(str(tmp_path))
    module.rename(module.with_name("renamed.py"))
    assert len({before, changed, hash_sources(str(tmp_path))}) == 3


def test_a_program_that_is_reached_through_a_link_tells_its_real_folder(tmp_path: Path) -> None:
    """Guards against playing another tree's program unnoticed, as a case does whose folder is a link."""
    (tmp_path / "embersill").symlink_to(PACKAGE)
    done = run_python(tmp_path, "-m", "embersill.edge", "version")
    told = json.loads(done.stdout)
    assert told["folder"] == str(PACKAGE) and told["sources"] == hash_sources(str(PACKAGE))
    assert told["foreign_modules"] == "0" and told["version"] == embersill.__version__
    assert set(told) == set(read_build_info().fields())


def test_the_first_line_of_the_log_tells_the_program_at_any_level(tmp_path: Path) -> None:
    done = run_python(PACKAGE.parent, "-m", "embersill.edge", "--log", "warning")
    first, second, *_ = done.stderr.splitlines()
    assert first.startswith("event=build ") and f" sources={hash_sources(str(PACKAGE))} " in first
    assert "can't_start" in second and done.returncode == 2


def test_status_and_metrics_tell_the_program(tmp_path: Path) -> None:
    fields = read_build_info().fields()

    async def scenario(ports: list[int], backend: Backend, processes: list[GatewayProcess]) -> None:
        _, _, body = await call("127.0.0.4", ports[2], "GET /api/status HTTP/1.1")
        assert json.loads(body)["build"] == fields
        _, _, text = await call("127.0.0.4", ports[1], "GET /api/metrics HTTP/1.1")
        assert info_line("embersill_build_info", fields) in text.decode().splitlines()

    run_scenario(tmp_path, lambda path, headers: answer(headers), scenario)


def test_labels_are_escaped() -> None:
    assert info_line("info", {"folder": 'a\\b"c\nd'}) == 'info{folder="a\\\\b\\"c\\nd"} 1'
