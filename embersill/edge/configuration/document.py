"""The operators' configuration: its schema, its validation, and how changes are applied to it."""

from __future__ import annotations

import hashlib
import re
from typing import Any, Literal, NotRequired, TypedDict

import msgspec
from expression import Error, Ok, Result

from embersill.edge.configuration.check import checked
from embersill.edge.configuration.policy import BUILT_IN_POLICY, Policy

MAX_KEPT_DIGESTS = 512  # recent changes whose digests are kept, to recognise a repeated one
DIGEST_HEX_DIGITS = 16  # it only has to tell apart changes under one version
MAX_ITEMS = 20000  # of routes, services or tenants each
VERSION_FORM = re.compile(r"[0-9a-fA-F]{1,16}")
SECTIONS = ("routes", "services", "tenants")


class Share(TypedDict):
    """One service of a split route."""

    service: str
    weight: float


class Route(TypedDict):
    """Where and how requests of one host and path prefix are sent."""

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
    """How to connect to the backends of one service."""

    health_path: NotRequired[str]
    connection_limit: NotRequired[int]
    protocol: NotRequired[str]
    tls_enabled: NotRequired[bool]


class Tenant(TypedDict):
    """A client organisation: its API keys, priority and rate limit."""

    api_keys: list[str]
    priority: NotRequired[int]
    rate_per_s: NotRequired[float]
    burst_size: NotRequired[float]


class ClientLimits(TypedDict):
    """Limits on requests from clients, in bytes and seconds."""

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
    """Items that a change adds or replaces, by name."""

    routes: NotRequired[dict[str, Any]]
    services: NotRequired[dict[str, Any]]
    tenants: NotRequired[dict[str, Any]]
    limits: NotRequired[dict[str, Any]]


class Removals(TypedDict):
    """Names of items that a change removes."""

    routes: NotRequired[list[str]]
    services: NotRequired[list[str]]
    tenants: NotRequired[list[str]]


class Patch(TypedDict):
    """A change of individual items of the configuration."""

    version: str
    based_on_version: NotRequired[str]
    upsert_items: NotRequired[Upserts]
    remove_names: NotRequired[Removals]


class Step(TypedDict):
    """One step of a lapsed tenant's ladder."""

    share: float  # of the tenant's usual rate that is still allowed
    lasts_s: NotRequired[float]  # left out only in the last step, which then stays in force


class Order(TypedDict):
    """The order to slow one tenant down, and its progress."""

    ladder: list[Step]
    by: str
    phase: Literal["waiting", "squeezing", "paused", "restored", "ended"]
    step: int  # the step in force; -1 while none is
    told: int  # the last step announced to the gateways
    usual_per_s: NotRequired[float]


class Lapses(TypedDict):
    """The orders about lapsed tenants, and the member that carries them out."""

    number: int  # grows with each change
    holder: str  # the member whose duty it is to take the steps
    orders: dict[str, Order]


class Run(TypedDict):
    """A rollout of a policy in progress."""

    policy: Policy
    by: str
    steps: list[list[str]]  # names of the sites in each step
    places: dict[str, list[str]]  # by site: its zones and gateways
    watch_s: float
    phase: Literal["running", "paused", "resting"]
    step: int  # the policy is in force up to this step; -1 before the first
    told: int  # the last step announced to the gateways
    tries: int  # how many steps were rolled back and tried again


class Past(TypedDict):
    """A finished run."""

    number: int
    policy: Policy
    by: str
    how: Literal["done", "halted", "aborted"]
    why: str
    step: int  # the last step that it reached
    steps: int


class Rollouts(TypedDict):
    """The policy in force, and the one that is being rolled out."""

    number: int  # grows with each run
    holder: str  # the member whose duty it is to take the steps
    good: Policy  # in force where the run has not reached
    run: Run | None
    past: list[Past]


class State(TypedDict):
    """The replicated state: the configuration as sent, the accepted changes, and the orders beside it."""

    version: int
    document: dict[str, Any]
    taken: list[list[Any]]  # version and digest of each accepted change, the newest last
    forgotten: NotRequired[int]  # the newest version whose digest is no longer kept
    lapses: NotRequired[Lapses]
    rollouts: NotRequired[Rollouts]


class Refusal(msgspec.Struct, frozen=True):
    """Why a change is refused: the HTTP status and a message for the operator."""

    status: int
    why: str


NO_LAPSES: Lapses = {"number": 0, "holder": "", "orders": {}}
NO_ROLLOUTS: Rollouts = {"number": 0, "holder": "", "good": BUILT_IN_POLICY, "run": None, "past": []}
EMPTY: State = {"version": 0, "document": {}, "taken": []}


def read_version(text: Any) -> int | None:
    """Parses a version as written in bodies, in hexadecimal digits; None for anything else."""
    if not isinstance(text, str) or not VERSION_FORM.fullmatch(text):
        return None
    return int(text, 16)


def write_version(version: int) -> str:
    """Formats a version as written in bodies, with at least eight hexadecimal digits."""
    return f"{version:08x}"


def digest(method: str, body: dict[str, Any]) -> str:
    """A digest that is the same for equal changes, regardless of their JSON formatting."""
    text = method.encode() + msgspec.json.encode(body, order="deterministic")
    return hashlib.sha256(text).hexdigest()[:DIGEST_HEX_DIGITS]


def validation_error(document: Document) -> str:
    """The first error in a configuration that its types can't express; empty if it is valid."""
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
            return f"tenant {name} has a negative quota"
    sizes = len(document["routes"]), len(document["services"]), len(document.get("tenants", {}))
    if max(sizes) > MAX_ITEMS:
        return f"more than {MAX_ITEMS} items of a kind"
    return ""


def read_document(document: Any) -> Result[Document, str]:
    """A whole valid configuration, or an error message."""

    def whole(read: Document) -> Result[Document, str]:
        why = validation_error(read)
        return Error(why) if why else Ok(read)

    return checked(document, Document, "configuration").bind(whole)


def apply_patch(current: dict[str, Any], patch: Patch) -> dict[str, Any]:
    """The current configuration with a patch's items replaced, added or removed."""
    result_document = dict(current)
    for section in SECTIONS:
        items = dict(current.get(section) or {})
        for name in patch.get("remove_names", {}).get(section, []):  # type: ignore[attr-defined]
            items.pop(name, None)
        items.update(patch.get("upsert_items", {}).get(section, {}))  # type: ignore[call-overload]
        if items or section in current:
            result_document[section] = items
    limits = patch.get("upsert_items", {}).get("limits")
    if limits:
        result_document["limits"] = {**(current.get("limits") or {}), **limits}
    result_document["version"] = patch["version"]
    return result_document


def apply_change(state: State, method: str, body: Any) -> Result[State, Refusal]:
    """The state after a change, or why it is refused; pure, so that it may be retried on another state.

    For a change that has been accepted already the state itself is returned.
    """
    if not isinstance(body, dict):
        return Error(Refusal(400, "not an object"))
    version, based_on = read_version(body.get("version")), read_version(body.get("based_on_version", "0"))
    if version is None or based_on is None:
        return Error(Refusal(400, "no version in its form"))
    digest_hex = digest(method, body)
    if any(taken == version and known.startswith(digest_hex) for taken, known in state["taken"]):
        return Ok(state)
    if version <= state.get("forgotten", 0):
        return Error(Refusal(500, "too old to be recognised: it may have been accepted"))
    if based_on != state["version"]:
        return Error(Refusal(412, f"version {write_version(state['version'])} is in place"))
    if version <= state["version"]:
        return Error(Refusal(400, f"not above version {write_version(state['version'])}"))
    if method == "PATCH":
        read = checked(body, Patch, "patch").map(lambda patch: apply_patch(state["document"], patch))
    else:
        read = Ok({name: value for name, value in body.items() if name != "based_on_version"})
    result = read.bind(lambda result_document: read_document(result_document).map(lambda _: result_document))
    if result.is_error():
        return Error(Refusal(400, result.error))
    all_taken = [*state["taken"], [version, digest_hex]]
    kept, dropped = all_taken[-MAX_KEPT_DIGESTS:], all_taken[:-MAX_KEPT_DIGESTS]
    following: State = {**state, "version": version, "document": result.ok, "taken": kept}
    if dropped:
        following["forgotten"] = dropped[-1][0]
    return Ok(following)


def with_next_number(state: State) -> State:
    """The state with the number of the orders beside the configuration increased by one."""
    lapses = state.get("lapses") or NO_LAPSES
    return {**state, "lapses": {**lapses, "number": lapses["number"] + 1}}


def revision(state: State) -> tuple[int, int]:
    """Orders states by age: the version, and the number of the orders beside it. Both only increase."""
    return state["version"], (state.get("lapses") or NO_LAPSES)["number"]
