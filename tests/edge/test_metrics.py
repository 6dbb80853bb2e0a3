"""The figures that a gateway tells of its data plane."""

from __future__ import annotations

import asyncio
from pathlib import Path

from embersill.edge.program import GatewayProcess
from embersill.net.disconnects import ClientDisconnects, LeftBy
from tests.edge.test_sockets import Backend, answer, call, play, try_of


def figures(text: bytes) -> dict[str, float]:
    """Values by name and labels, of the text format."""
    pairs = (line.rpartition(" ") for line in text.decode().splitlines())
    return {name: float(value) for name, _, value in pairs}


def test_a_gateway_tells_its_figures_beside_its_readiness(tmp_path: Path) -> None:
    async def then(ports: list[int], backend: Backend, systems: list[GatewayProcess]) -> None:
        assert (await call("127.0.0.4", ports[0], try_of(1)))[0] == 200
        status, headers, text = await call("127.0.0.4", ports[1], "GET /api/metrics HTTP/1.1")
        assert (status, headers["content-type"]) == (200, "text/plain; version=0.0.4")
        told = figures(text)
        assert told["embersill_requests_total"] == told["embersill_attempts_total"] == 1
        assert told["embersill_requests_pending"] == told["embersill_attempts_counted_out"] == 0
        assert told["embersill_backend_connections"] == 1
        assert (await call("127.0.0.4", ports[1], "POST /api/metrics HTTP/1.1"))[0] == 405
        await asyncio.sleep(0)

    play(tmp_path, lambda path, headers: answer(headers), then)


def test_attempts_that_ran_on_are_counted_by_how_they_ended_and_how_long_they_took() -> None:
    counts = ClientDisconnects()
    counts.connection_ended(LeftBy.CLOSE)
    counts.attempt_ended(0.0, written=False, cancelled=False)
    counts.attempt_ended(0.05, written=True, cancelled=True)
    counts.attempt_ended(9.0, written=True, cancelled=False)
    told = figures("\n".join(counts.lines()).encode())
    name = "embersill_client_disconnects"
    assert told[f'{name}_total{{how="close"}}'] == 1 and told[f'{name}_total{{how="reset"}}'] == 0
    ends = [told[f'{name}_attempts_total{{end="{end}"}}'] for end in ("cancelled", "unsent", "finished")]
    assert ends == [1, 1, 1]
    assert told[f'{name}_ran_on_seconds_bucket{{le="0.05"}}'] == 1
    assert told[f'{name}_ran_on_seconds_bucket{{le="5.0"}}'] == 1
    assert told[f'{name}_ran_on_seconds_bucket{{le="+Inf"}}'] == told[f"{name}_ran_on_seconds_count"] == 2
