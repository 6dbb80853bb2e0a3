"""Commands beside the gateway itself: checks of files and stores, a gateway's status, orders of operators.

Each prints its result as JSON on standard output, or one line on standard error that names the place of
the error. Exit status: 0 for success, 1 for an error, 2 for wrong usage.
"""

from __future__ import annotations

import argparse
import http.client
import json
import sys
import urllib.parse
from pathlib import Path
from typing import Any, NotRequired, TypedDict

import msgspec
from expression import Error, Ok, Result

from embersill.edge.build_info import read_build_info
from embersill.edge.records import Stored
from embersill.edge.configuration.check import checked
from embersill.edge.configuration.document import read_document, write_version
from embersill.edge.discovery.instances import Instance
from embersill.edge.local import read_local, CONFIG_VARIABLE
from embersill.edge.configuration.policy import BUILT_IN_POLICY, differences, read_policy
from embersill.edge.configuration.rollouts import DEFAULT_MAX_SHARE
from embersill.edge.configuration.stages import Site, steps_of
from embersill.edge.storage.store import read_stored
from embersill.net.discovery import read_address

ANSWER_TIMEOUT_S = 3.0  # for a gateway's response
MAX_ANSWER_BYTES = 16 << 20
Found = Result[dict[str, Any], str]


def read_json(path: str) -> Result[Any, str]:
    """The JSON value in a file, or a one-line error."""
    try:
        return Ok(json.loads(Path(path).read_text()))
    except (OSError, ValueError, RecursionError) as error:
        return Error(f"{path}: {error}")


def check_settings(chosen: argparse.Namespace) -> Found:
    """The settings file of a process, as its start would read it."""
    return read_local({CONFIG_VARIABLE: chosen.subject}).map(
        lambda local: {
            "node_name": local["node_name"],
            "zone": local["zone"],
            "seeds": len(local["seed_nodes"]),
            "keeps_state": bool(local.get("data_directory")),
        }
    )


def check_configuration(chosen: argparse.Namespace) -> Found:
    """A whole configuration, as an operator would send it, checked as it would be then."""
    return (
        read_json(chosen.subject)
        .bind(read_document)
        .map(
            lambda read: {
                "version": read["version"],
                "routes": len(read["routes"]),
                "services": len(read["services"]),
                "tenants": len(read.get("tenants", {})),
            }
        )
    )


def check_store(chosen: argparse.Namespace) -> Found:
    """The folder in which a gateway that is stopped keeps its state."""
    path = chosen.subject

    def summary(stored: Stored) -> Found:
        begun, kept, state = stored.begun, stored.remembered, stored.state
        backends: list[Instance] = []
        try:
            if stored.backends:
                backends = msgspec.msgpack.decode(stored.backends, type=list[Instance])
        except msgspec.MsgspecError as error:
            return Error(f"{path}: the list of backends: {error}")
        if state is not None:
            read = read_document(state["document"])
            if read.is_error():
                return Error(f"{path}: the configuration in force: {read.error}")
        return Ok(
            {
                "store": stored.store,
                "epoch": begun.roster.epoch if begun else 0,
                "members": sorted(begun.roster.members) if begun else [],
                "remembers": bool(begun and kept and kept.epoch == begun.roster.epoch),
                "version": write_version(state["version"]) if state is not None else None,
                "backends": len(backends),
                "gateways": len(stored.directory.entries) if stored.directory else stored.gateways,
            }
        )

    return read_stored(Path(path)).bind(summary)


def ask(address: str, method: str, path: str, body: Any = None) -> Found:
    """Makes a control call to `address` (host:port); a refusal is returned as a one-line error."""
    try:
        host, port = read_address(address)
        connection = http.client.HTTPConnection(host, port, timeout=ANSWER_TIMEOUT_S)
        connection.request(method, path, json.dumps(body) if body is not None else None)
        answer = connection.getresponse()
        told = json.loads(answer.read(MAX_ANSWER_BYTES))
        connection.close()
        if answer.status != 200:
            return Error(f"{address}: {answer.status}: {told.get('error_message', 'no reason given')}")
        return Ok(told)
    except (OSError, ValueError, http.client.HTTPException) as error:
        return Error(f"{address}: {error}")


def status(chosen: argparse.Namespace) -> Found:
    """Asks the gateway with that control address (host:port) for its status."""
    return ask(chosen.subject, "GET", "/api/status")


def show_version(chosen: argparse.Namespace) -> Found:
    """Tells which program a gateway would be that is started like this command."""
    return Ok(dict(read_build_info().fields()))


def read_ladder(text: str) -> list[dict[str, float]]:
    """Steps given as `share:seconds`, the last maybe without seconds; raises ValueError if malformed."""
    steps = []
    for part in text.split(","):
        share, colon, lasts = part.partition(":")
        step = {"share": float(share)}
        if colon:
            step["lasts_s"] = float(lasts)
        steps.append(step)
    return steps


def wish_of(chosen: argparse.Namespace) -> dict[str, Any]:
    """The body of an order: the action, who orders it, and which number it builds on, if given."""
    wish: dict[str, Any] = {"action": chosen.what, "by": chosen.by}
    if chosen.number is not None:
        wish["based_on_number"] = chosen.number
    return wish


def lapse(chosen: argparse.Namespace) -> Found:
    """Sends an order about a lapsed tenant, or asks for the list of orders or a report."""
    if chosen.what == "list":
        return ask(chosen.subject, "GET", "/api/lapses")
    place = f"/api/lapses/{urllib.parse.quote(chosen.tenant, safe='')}"
    if chosen.what == "report":
        return ask(chosen.subject, "GET", place)
    wish = wish_of(chosen)
    if chosen.what == "start":
        wish["ladder"] = chosen.ladder
        if chosen.usual is not None:
            wish["usual_per_s"] = chosen.usual
    return ask(chosen.subject, "PUT", place, wish)


def check_policy(chosen: argparse.Namespace) -> Found:
    """A policy: what it changes against how gateways were built."""
    return (
        read_json(chosen.subject)
        .bind(read_policy)
        .map(lambda policy: {"name": policy["name"], "changes": differences(BUILT_IN_POLICY, policy)})
    )


def read_plan(chosen: argparse.Namespace) -> Found:
    """The sites file, with the steps in which a policy would be rolled out to the sites."""

    def ordered(plan: Any) -> Found:
        read = checked(plan, Plan, chosen.sites)
        return read.bind(
            lambda made: steps_of(
                made["sites"], made.get("last", []), made.get("most_share", DEFAULT_MAX_SHARE)
            ).map(lambda steps: {**made, "steps": steps})
        )

    return read_json(chosen.sites).bind(ordered)


def rollout(chosen: argparse.Namespace) -> Found:
    """Plans a policy rollout, sends an order about one, or asks for its status."""
    if chosen.what == "plan":
        return read_plan(chosen).map(lambda plan: {"steps": plan["steps"]})
    if chosen.what == "status":
        return ask(chosen.subject, "GET", "/api/rollout")
    wish = wish_of(chosen)
    if chosen.what != "start":
        return ask(chosen.subject, "PUT", "/api/rollout", wish)
    policy, plan = read_json(chosen.policy).bind(read_policy), read_plan(chosen)
    if policy.is_error() or plan.is_error():
        return Error(policy.error if policy.is_error() else plan.error)
    named = {name: plan.ok[name] for name in ("sites", "last", "most_share", "watch_s") if name in plan.ok}
    return ask(chosen.subject, "PUT", "/api/rollout", {**wish, "policy": policy.ok, **named})


def add_wish(one: argparse.ArgumentParser, of: str) -> None:
    """Adds the options that all operator orders have."""
    one.add_argument("--by", required=True, help="who orders it")
    one.add_argument("--number", type=int, help=f"of the {of} that this builds on")


def add_rollout(commands: Any) -> None:
    """Adds the commands about policy rollouts."""
    made = commands.add_parser("rollout", help="carry a policy down the sites step by step")
    rollouts = made.add_subparsers(dest="what", required=True)
    for name, text in (
        ("plan", "the order in which a policy would come to the sites"),
        ("start", "begin to carry one"),
        ("status", "what is in force, on its way and over"),
        ("pause", "stay at the step it is at"),
        ("resume", "go on"),
        ("abort", "take it back everywhere at once"),
    ):
        one = rollouts.add_parser(name, help=text)
        one.set_defaults(does=rollout)
        if name != "plan":
            one.add_argument("subject", metavar="ADDRESS", help="host:port of any gateway's calls of control")
        if name == "start":
            one.add_argument("policy", metavar="POLICY", help="a JSON file")
        if name in ("plan", "start"):
            one.add_argument("sites", metavar="SITES", help="a JSON file: sites, last, most_share, watch_s")
        if name not in ("plan", "status"):
            add_wish(one, "runs")


class Plan(TypedDict):
    """The sites file of a rollout; `last`: the routes, services or tenants whose sites come last."""

    sites: dict[str, Site]
    last: NotRequired[list[str]]
    most_share: NotRequired[float]
    watch_s: NotRequired[float]


def parser() -> argparse.ArgumentParser:
    """The parser of the whole command line."""
    made = argparse.ArgumentParser(prog="embersill.edge", description="The whole gateway, and its tools.")
    levels = ("debug", "info", "warning")
    made.add_argument("--log", choices=levels, default="info", help="the least level that is written")
    commands = made.add_subparsers(dest="command", metavar="COMMAND")
    commands.add_parser(
        "gateway", help=f"serve, by the settings file that {CONFIG_VARIABLE} names (the default)"
    )
    check = commands.add_parser("check", help="read a file as a gateway would").add_subparsers(
        dest="what", required=True
    )
    for name, does in (
        ("settings", check_settings),
        ("configuration", check_configuration),
        ("policy", check_policy),
    ):
        one = check.add_parser(name, help=does.__doc__)
        one.add_argument("subject", metavar="FILE")
        one.set_defaults(does=does)
    store = commands.add_parser("store", help="look at a gateway's own state").add_subparsers(
        dest="what", required=True
    )
    one = store.add_parser("check", help=check_store.__doc__)
    one.add_argument("subject", metavar="DIR")
    one.set_defaults(does=check_store)
    one = commands.add_parser("version", help="which program this is: sources, folder, libraries")
    one.set_defaults(does=show_version)
    one = commands.add_parser("status", help="ask a gateway what it believes")
    one.add_argument("subject", metavar="ADDRESS", help="host:port of its calls of control")
    one.set_defaults(does=status)
    lapses = commands.add_parser("lapse", help="slow a lapsed tenant down step by step").add_subparsers(
        dest="what", required=True
    )
    for name, text in (
        ("list", "what is ordered"),
        ("start", "begin to slow a tenant down"),
        ("pause", "stay at the step it is at"),
        ("resume", "go on"),
        ("restore", "set it free at once"),
        ("report", "what it and all others met, by step and gateway"),
    ):
        one = lapses.add_parser(name, help=text)
        one.add_argument("subject", metavar="ADDRESS", help="host:port of any gateway's calls of control")
        one.set_defaults(does=lapse)
        if name != "list":
            one.add_argument("tenant")
        if name not in ("list", "report"):
            add_wish(one, "orders")
        if name == "start":
            one.add_argument(
                "--ladder",
                required=True,
                type=read_ladder,
                metavar="SHARE:SECONDS,...",
                help="steps, as shares of the usual rate: 0.5:60,0.2:60,0",
            )
            one.add_argument("--usual", type=float, help="requests a second that shares are of (its quota)")
    add_rollout(commands)
    return made


def run_command(chosen: argparse.Namespace) -> int:
    """Runs the chosen command and prints its result; returns the exit status."""
    found: Found = chosen.does(chosen)
    if found.is_error():
        print(f"embersill.edge: {found.error}", file=sys.stderr)
        return 1
    print(json.dumps(found.ok, indent=2, sort_keys=True))
    return 0
