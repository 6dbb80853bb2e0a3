"""The operators' calls: what each path means, and what it answers. No I/O.

A call is carried out whole or not at all: anything out of form is a 4xx and changes nothing.
"""

from __future__ import annotations

from typing import Protocol
from urllib.parse import unquote

Reply = tuple[int, str]


class Service(Protocol):
    """The gateway as its operators know it."""

    def can_serve(self) -> bool: ...

    def stats(self) -> str: ...

    def hold(self, backend: str, out: bool) -> bool:
        """Takes a backend out of use, or puts it back; False for an id that nobody has."""
        ...

    def empty(self, on: bool) -> None:
        """Begins to drain the gateway, or ends that."""
        ...


def route(method: str, path: str, service: Service) -> Reply:
    """Carries out one call; its status and text."""
    path = path.partition("?")[0]
    match path.split("/")[1:] if path.startswith("/") else [""]:
        case ["healthcheck"]:
            wanted = "GET"
        case ["stats"]:
            wanted = "GET"
        case ["backends", _, "maint" | "ready"]:
            wanted = "POST"
        case ["healthcheck", "fail" | "ok"]:
            wanted = "POST"
        case _:
            return 404, "no such call\n"
    if method != wanted:
        return 405, f"only {wanted}\n"
    words = path.split("/")[1:]
    if words == ["stats"]:
        return 200, service.stats()
    if words == ["healthcheck"]:
        return (200, "serving\n") if service.can_serve() else (503, "not serving yet\n")
    if words[0] == "healthcheck":
        service.empty(words[1] == "fail")
        return 200, "done\n"
    backend = unquote(words[1])
    if not service.hold(backend, words[2] == "maint"):
        return 404, "no backend has this id\n"
    return 200, "done\n"
