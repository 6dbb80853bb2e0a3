"""The command line: reads arguments and configuration, and runs the process in its role."""

from __future__ import annotations

import logging
import os
import signal
import sys
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from embersill.configuration.platform import Configuration


def read_arguments(arguments: list[str]) -> str:
    """The operator file's path; empty if there is none: the process is then a gateway of the platform."""
    default_path = os.environ.get("EMBERSILL_OPERATOR", "")
    if not arguments:
        return default_path
    import argparse  # a tenth of a gateway's start-up time, which counts where a whole fleet starts at once

    parser = argparse.ArgumentParser(
        prog="embersill",
        description="A quota-keeping gateway.",
        epilog="embersill counting bound: how far quotas can be passed while the counter is in trouble",
    )
    parser.add_argument(
        "--operator",
        metavar="FILE",
        default=default_path,
        help="operator file (TOML) that gives this process its role",
    )
    return str(parser.parse_args(arguments).operator)


async def serve(config: Configuration, operator: str) -> None:
    """Runs the process: by the operator file, or as a gateway of the platform."""
    if not operator:
        from embersill.roles import Program  # after SIGHUP is blocked, see `main`

        return await Program(config).run()
    # imported here: without an operator file neither its roles nor their libraries are loaded
    from embersill.operated import run_operated

    return await run_operated(config, operator)


def main() -> int:
    """Runs the command line; the exit status is 2 for a bad configuration and 1 for a system error."""
    logging.basicConfig(format="%(name)s: %(message)s", level=logging.WARNING)
    if sys.argv[1:2] == ["counting"]:
        from embersill.counting.command import (
            main as counting,
        )  # imports libraries that a gateway doesn't need

        return counting(sys.argv[2:])
    # By default SIGHUP ends the process. Blocked, an early one stays pending until the handler is set. It is
    # blocked before the other imports, which take most of the start.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    import uvloop

    from embersill.configuration.platform import BadConfiguration, read_configuration

    operator = read_arguments(sys.argv[1:])
    try:
        uvloop.run(serve(read_configuration(dict(os.environ)), operator))
    except BadConfiguration as error:
        print(f"embersill: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"embersill: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
