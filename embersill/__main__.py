"""The command line: reads what the process is told, starts its role, or says plainly why it can't."""

from __future__ import annotations

import logging
import os
import signal
import sys

import uvloop

from embersill.configuration.platform import BadConfiguration, Configuration, read_configuration
from embersill.roles import Program


def read_arguments(arguments: list[str]) -> str:
    """The operator file's path; empty where there is none, and the process is a gateway of the platform."""
    told = os.environ.get("EMBERSILL_OPERATOR", "")
    if not arguments:
        return told
    import argparse  # a tenth of what a gateway's start costs, where a whole fleet starts at once

    parser = argparse.ArgumentParser(
        prog="embersill",
        description="A quota-keeping gateway.",
        epilog="embersill counting bound: how far quotas can be passed while the counter is in trouble",
    )
    parser.add_argument(
        "--operator",
        metavar="FILE",
        default=told,
        help="operator file (TOML) that gives this process its role",
    )
    return str(parser.parse_args(arguments).operator)


async def serve(told: Configuration, operator: str) -> None:
    if not operator:
        return await Program(told).run()
    # imported here: without an operator file nothing of what it describes, nor a library for it, is loaded
    from embersill.operated import run_operated

    return await run_operated(told, operator)


def main() -> int:
    logging.basicConfig(format="%(name)s: %(message)s", level=logging.WARNING)
    if sys.argv[1:2] == ["counting"]:
        from embersill.counting.command import main as counting  # with libraries that a gateway does without

        return counting(sys.argv[2:])
    operator = read_arguments(sys.argv[1:])
    # left to itself it ends the process; one that comes early waits: the file may have been read by then
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
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
