"""The operators' configuration: its form, what makes one invalid, how a change is laid on the current one."""

from __future__ import annotations

import hashlib
import re
from typing import Any, Literal, NotRequired, TypedDict

import msgspec
from expression import Error, Ok, Result

from embersill.edge.configuration.check import checked
from embersill.edge.configuration.policy import AS_BUILT, Policy

MOST_TAKEN = 512  # changes whose digests are kept, so that one that is sent again is known
DIGEST = 16  # hexadecimal digits of a change's digest; it tells apart changes under one version only
MOST_ITEMS = 20000  # routes, services or tenants
VERSION = re.compile(r"[0-9a-fA-F]{1,16}")
SECTIONS = ("routes", "services", "tenants")


class Share(TypedDict):
    """One service of a split route."""

    service: str
    weight: float


class Route(TypedDict):
    """Requests of one host and path: where they go, and how."""

    host: str
    path_prefix: str
    kind: Literal["idempotent", "non_idempotent"]
    timeout_s: float
    target_latency_s: float
    max_attempts: int
    priority: NotRequired[int]
    public_access: NotRequired[bool]
    service: NotRequired[str]
    weighted_split: NotRequired[list[Share]]


class Service(TypedDict):
    """How the backends of one service are spoken to."""

    health_path: NotRequired[str]
    connection_limit: NotRequired[int]
    protocol: NotRequired[str]
    tls_enabled: NotRequired[bool]


class Tenant(TypedDict):
    """Whose requests these are: keys, and how many may come."""

    api_keys: list[str]
    priority: NotRequired[int]
    rate_per_s: NotRequired[float]
    burst_size: NotRequired[float]


class ClientLimits(TypedDict):
    """Bounds on what clients may send, in bytes and seconds."""

    max_header_bytes: NotRequired[int]
    max_body_bytes: NotRequired[int]
    header_timeout_s: NotRequired[float]
    idle_timeout_s: NotRequired[float]


class Document(TypedDict):
    """A whole configuration, as operators send and read it."""

    version: str
    routes: dict[str, Route]
    services: dict[str, Service]
    limits: NotRequired[ClientLimits]
    tenants: NotRequired[dict[str, Tenant]]
    based_on_version: NotRequired[str]


class Upserts(TypedDict):
    """What a change adds or replaces, by name."""

    routes: NotRequired[dict[str, Any]]
    services: NotRequired[dict[str, Any]]
    tenants: NotRequired[dict[str, Any]]
    limits: NotRequired[dict[str, Any]]


class Removals(TypedDict):
    """What a change removes, by name."""

    routes: NotRequired[list[str]]
    services: NotRequired[list[str]]
    tenants: NotRequired[list[str]]


class Patch(TypedDict):
    """A change of named items."""

    version: str
    based_on_version: NotRequired[str]
    upsert_items: NotRequired[Upserts]
    remove_names: NotRequired[Removals]


class Step(TypedDict):
    """One step of a lapsed tenant's ladder."""

    share: float  # of its usual rate, that may pass
    lasts_s: NotRequired[float]  # without it the step is the last, and stays


class Order(TypedDict):
    """One tenant's: what was ordered, and how far it has come."""

    ladder: list[Step]
    by: str
    phase: Literal["waiting", "squeezing", "paused", "restored", "ended"]
    step: int  # in force; -1 while none is
    told: int  # the last one that gateways were told of
    usual_per_s: NotRequired[float]


class Lapses(TypedDict):
    """The orders about lapsed tenants, and who carries them out."""

    number: int  # grows with each change
    holder: str  # of the duty of taking the steps
    orders: dict[str, Order]


class Run(TypedDict):
    """A policy on its way down the sites."""

    policy: Policy
    by: str
    steps: list[list[str]]  # of sites
    places: dict[str, list[str]]  # by site: its zones and gateways
    watch_s: float
    phase: Literal["running", "paused", "resting"]
    step: int  # in force up to this one; -1 while at none
    told: int  # the last one that gateways were told of
    tries: int  # steps that were taken back and are tried again


class Past(TypedDict):
    """A run that is over."""

    number: int
    policy: Policy
    by: str
    how: Literal["done", "halted", "aborted"]
    why: str
    step: int  # the last that it came to
    steps: int


class Rollouts(TypedDict):
    """The policy in force, and the one that is being carried down the sites."""

    number: int  # grows with each run
    holder: str  # of the duty of taking the steps
    good: Policy  # in force where no run has another
    run: Run | None
    past: list[Past]


class State(TypedDict):
    """What is agreed on: the configuration as it was sent, the changes that were taken, orders beside it."""

    version: int
    document: dict[str, Any]
    taken: list[list[Any]]  # version and digest of each change, the newest last
    forgotten: NotRequired[int]  # the newest version whose digest is not kept any more
    lapses: NotRequired[Lapses]
    rollouts: NotRequired[Rollouts]


class Refusal(msgspec.Struct, frozen=True):
    """Why a change is not taken: the status of the answer, and a line for the operator."""

    status: int
    why: str


NO_LAPSES: Lapses = {"number": 0, "holder": "", "orders": {}}
NO_ROLLOUTS: Rollouts = {"number": 0, "holder": "", "good": AS_BUILT, "run": None, "past": []}
EMPTY: State = {"version": 0, "document": {}, "taken": []}


def read_version(text: Any) -> int | None:
    """A version as bodies have it: hexadecimal digits; None for anything else."""
    if not isinstance(text, str) or not VERSION.fullmatch(text):
        return None
    return int(text, 16)


def write_version(version: int) -> str:
    """A version as bodies have it: eight hexadecimal digits."""
    return f"{version:08x}"


def digest(method: str, body: dict[str, Any]) -> str:
    """The same for the same change, however its text was laid out."""
    text = method.encode() + msgspec.json.encode(body, order="deterministic")
    return hashlib.sha256(text).hexdigest()[:DIGEST]


def unsound(document: Document) -> str:
    """What no type can say of a whole configuration; empty if it is sound."""
    places: dict[tuple[str, str], str] = {}
    for name, route in document["routes"].items():
        split = route.get("weighted_split") or []
        services = [share["service"] for share in split] or [route.get("service", "")]
        for service in services:
            if service not in document["services"]:
                return f"route {name} names the unknown service {service!r}"
        if split and (any(s["weight"] < 0 for s in split) or not sum(s["weight"] for s in split) > 0):
            return f"route {name} has no weight"
        place = route["host"].lower(), route["path_prefix"]
        if place in places:
            return f"routes {places[place]} and {name} share host and prefix"
        places[place] = name
        if route["max_attempts"] < 1:
            return f"route {name} has no attempts"
        if not route["path_prefix"].startswith("/"):
            return f"route {name} has a prefix without its slash"
        if route["timeout_s"] <= 0 or route["target_latency_s"] <= 0:
            return f"route {name} has no time"
    holders: dict[str, str] = {}
    for name, tenant in document.get("tenants", {}).items():
        for key in tenant["api_keys"]:
            if holders.setdefault(key, name) != name:
                return f"tenants {holders[key]} and {name} share a key"
        if tenant.get("rate_per_s", 0.0) < 0 or tenant.get("burst_size", 0.0) < 0:
            return f"tenant {name} has a quota below nought"
    sizes = len(document["routes"]), len(document["services"]), len(document.get("tenants", {}))
    if max(sizes) > MOST_ITEMS:
        return f"more than {MOST_ITEMS} items of a kind"
    return ""


def read_document(document: Any) -> Result[Document, str]:
    """A whole configuration that may be put in force, or what is wrong with it."""

    def whole(read: Document) -> Result[Document, str]:
        why = unsound(read)
        return Error(why) if why else Ok(read)

    return checked(document, Document, "configuration").bind(whole)


def patched(current: dict[str, Any], patch: Patch) -> dict[str, Any]:
    """The current configuration with the items named in a patch replaced, added or removed."""
    made = dict(current)
    for section in SECTIONS:
        items = dict(current.get(section) or {})
        for name in patch.get("remove_names", {}).get(section, []):  # type: ignore[attr-defined]
            items.pop(name, None)
        items.update(patch.get("upsert_items", {}).get(section, {}))  # type: ignore[call-overload]
        if items or section in current:
            made[section] = items
    limits = patch.get("upsert_items", {}).get("limits")
    if limits:
        made["limits"] = {**(current.get("limits") or {}), **limits}
    made["version"] = patch["version"]
    return made


def changed(state: State, method: str, body: Any) -> Result[State, Refusal]:
    """The state after a change, or why it is not taken; pure, so that it may be tried again on another state.

    A change that has been taken already comes back as the state itself.
    """
    if not isinstance(body, dict):
        return Error(Refusal(400, "not an object"))
    version, based_on = read_version(body.get("version")), read_version(body.get("based_on_version", "0"))
    if version is None or based_on is None:
        return Error(Refusal(400, "no version in its form"))
    mark = digest(method, body)
    if any(taken == version and known.startswith(mark) for taken, known in state["taken"]):
        return Ok(state)
    if version <= state.get("forgotten", 0):
        return Error(Refusal(500, "too long ago to be known: it may have been taken"))
    if based_on != state["version"]:
        return Error(Refusal(412, f"version {write_version(state['version'])} is in place"))
    if version <= state["version"]:
        return Error(Refusal(400, f"not above version {write_version(state['version'])}"))
    if method == "PATCH":
        read = checked(body, Patch, "patch").map(lambda patch: patched(state["document"], patch))
    else:
        read = Ok({name: value for name, value in body.items() if name != "based_on_version"})
    result = read.bind(lambda made: read_document(made).map(lambda _: made))
    if result.is_error():
        return Error(Refusal(400, result.error))
    every = [*state["taken"], [version, mark]]
    kept, dropped = every[-MOST_TAKEN:], every[:-MOST_TAKEN]
    following: State = {**state, "version": version, "document": result.ok, "taken": kept}
    if dropped:
        following["forgotten"] = dropped[-1][0]
    return Ok(following)


def raised(state: State) -> State:
    """The state under the next number of what is agreed on beside the configuration."""
    lapses = state.get("lapses") or NO_LAPSES
    return {**state, "lapses": {**lapses, "number": lapses["number"] + 1}}


def revision(state: State) -> tuple[int, int]:
    """How new a state is: its version, and the number of the orders beside it. Neither ever goes back."""
    return state["version"], (state.get("lapses") or NO_LAPSES)["number"]
