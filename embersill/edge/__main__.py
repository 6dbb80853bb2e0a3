"""The command line of the whole gateway: `python -m embersill.edge`."""

from __future__ import annotations

import logging
import os
import sys

import uvloop

from embersill.edge.logs import begin_logs
from embersill.edge.program import System, prepared
from embersill.roles import run_until_signal


async def run(environment: dict[str, str]) -> int:
    """Serves until the process is told to stop; its exit status."""
    ready = prepared(environment)
    if ready.is_error():
        logging.getLogger("embersill.edge").error("can't start: %s", ready.error)
        return 2
    try:
        await run_until_signal(System(*ready.ok))
    except OSError as error:
        logging.getLogger("embersill.edge").error("can't run: %s", error)
        return 2
    return 0


def main(arguments: list[str] | None = None) -> int:
    """The command line: without a command this is a gateway. Returns the exit status."""
    told = sys.argv[1:] if arguments is None else arguments
    level = "info"
    if told:
        from embersill.edge.command import carry_out, parser  # a gateway's own start does without

        chosen = parser().parse_args(told)
        if chosen.command not in (None, "gateway"):
            return carry_out(chosen)
        level = chosen.log
    begin_logs(level)
    return uvloop.run(run(dict(os.environ)))


if __name__ == "__main__":
    sys.exit(main())
