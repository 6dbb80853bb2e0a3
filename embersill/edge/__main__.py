"""The command line of the gateway and its tools: `python -m embersill.edge`."""

from __future__ import annotations

import os
import signal
import sys


def main(arguments: list[str] | None = None) -> int:
    """Runs a command, or a gateway if none is given; returns the exit status."""
    given = sys.argv[1:] if arguments is None else arguments
    # By default SIGHUP ends the process. Blocked, an early one stays pending until the handler is set. It is
    # blocked before the other imports, which take most of the start.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    level = "info"
    if given:
        from embersill.edge.command import parser, run_command  # not needed to start a gateway

        chosen = parser().parse_args(given)
        if chosen.command not in (None, "gateway"):
            signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
            return run_command(chosen)
        level = chosen.log
    from embersill.edge.program import run_gateway

    return run_gateway(dict(os.environ), level)


if __name__ == "__main__":
    sys.exit(main())
