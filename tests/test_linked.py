"""Hollow gateways over sockets: all connect, get changes, and reconnect; the page shows the kept run."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import pytest

from benchmarks import linked
from benchmarks.linked_gateways import Report, address

DOCS = Path(__file__).parents[1] / "docs"


def test_hollow_gateways_link_to_real_members_and_have_what_operators_change(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(linked, "CALM_SECONDS", 0.5)
    monkeypatch.setattr(linked, "SETTLED_SECONDS", 0.1)
    monkeypatch.setattr(linked, "CHANGES", 2)
    found = asyncio.run(linked.measure(7, 2))
    assert found.gateways == 7 and found.member_memory > 1e6
    assert found.member_descriptors > 7 + 2
    assert 0.0 < found.change_p50 <= found.change_all and found.member_back > 0.0


def test_addresses_differ_and_are_on_loopback() -> None:
    addresses = {address(number) for number in range(2100)}
    assert len(addresses) == 2100 and all(one.startswith("127.1.") for one in addresses)


def test_a_report_is_read_as_it_was_written() -> None:
    assert Report.read(b'{"links":3,"versions":{"2":[1.5]}}') == Report(3, {2: [1.5]})


def test_the_pages_table_is_the_kept_runs() -> None:
    run, page = json.loads((DOCS / "linked.json").read_text()), (DOCS / "CAPACITY.md").read_text()
    assert "\n".join(linked.table(run["found"])) in page
