"""The command line of the gateway and its tools: `python -m embersill.edge`."""

from __future__ import annotations

import logging
import os
import sys

import uvloop

from embersill.edge.logs import start_logging
from embersill.edge.program import GatewayProcess, prepare
from embersill.roles import run_until_signal


async def run(environment: dict[str, str]) -> int:
    """Runs a gateway until the process is signalled to stop; returns the exit status."""
    prepared = prepare(environment)
    if prepared.is_error():
        logging.getLogger("embersill.edge").error("can't start: %s", prepared.error)
        return 2
    try:
        await run_until_signal(GatewayProcess(*prepared.ok))
    except OSError as error:
        logging.getLogger("embersill.edge").error("can't run: %s", error)
        return 2
    return 0


def main(arguments: list[str] | None = None) -> int:
    """Runs a command, or a gateway if none is given; returns the exit status."""
    given = sys.argv[1:] if arguments is None else arguments
    level = "info"
    if given:
        from embersill.edge.command import run_command, parser  # not needed to start a gateway

        chosen = parser().parse_args(given)
        if chosen.command not in (None, "gateway"):
            return run_command(chosen)
        level = chosen.log
    start_logging(level)
    return uvloop.run(run(dict(os.environ)))


if __name__ == "__main__":
    sys.exit(main())
