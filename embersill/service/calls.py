"""Routes the operators' HTTP calls. No I/O.

A call is carried out completely or not at all: an invalid one gets a 4xx status and changes nothing.
"""

from __future__ import annotations

from typing import Protocol
from urllib.parse import unquote

Reply = tuple[int, str]


class Service(Protocol):
    """What operators can ask of a gateway."""

    def can_serve(self) -> bool:
        """True if the gateway is ready for requests."""
        ...

    def stats(self) -> str:
        """The counters as text."""
        ...

    def hold(self, backend: str, out: bool) -> bool:
        """Takes a backend out of use, or puts it back; False for an unknown id."""
        ...

    def set_draining(self, on: bool) -> None:
        """Begins to drain the gateway, or ends that."""
        ...


def route(method: str, path: str, service: Service) -> Reply:
    """Carries out one call; returns its status and text."""
    path = path.partition("?")[0]
    match path.split("/")[1:] if path.startswith("/") else [""]:
        case ["healthcheck"]:
            required_method = "GET"
        case ["stats"]:
            required_method = "GET"
        case ["backends", _, "maint" | "ready"]:
            required_method = "POST"
        case ["healthcheck", "fail" | "ok"]:
            required_method = "POST"
        case _:
            return 404, "no such call\n"
    if method != required_method:
        return 405, f"only {required_method}\n"
    segments = path.split("/")[1:]
    if segments == ["stats"]:
        return 200, service.stats()
    if segments == ["healthcheck"]:
        return (200, "serving\n") if service.can_serve() else (503, "not serving yet\n")
    if segments[0] == "healthcheck":
        service.set_draining(segments[1] == "fail")
        return 200, "done\n"
    backend = unquote(segments[1])
    if not service.hold(backend, segments[2] == "maint"):
        return 404, "no backend has this id\n"
    return 200, "done\n"
