"""Logs: one line of key=value pairs for each event, by eliot, which the standard logging is led into."""

from __future__ import annotations

import logging
import sys
from typing import Any

import eliot

HIDDEN = frozenset(("task_uuid", "task_level", "timestamp", "message_type"))


def line(message: dict[str, Any]) -> str:
    """An event as one line; whatever has a space in it stands in quotes."""
    words = [f"event={message.get('message_type', '')}"]
    for name, value in message.items():
        if name not in HIDDEN:
            text = str(value).replace("\n", "\\n")
            words.append(f'{name}="{text}"' if " " in text or not text else f"{name}={text}")
    return " ".join(words)


def write(message: dict[str, Any]) -> None:
    """Writes one event to standard error."""
    print(line(message), file=sys.stderr, flush=True)


class Handler(logging.Handler):
    """Leads what modules log into eliot: `name=value` words become fields."""

    def emit(self, record: logging.LogRecord) -> None:
        """Writes what a module has logged."""
        fields: dict[str, Any] = {}
        words = []
        for word in record.getMessage().split(" "):
            name, sign, value = word.partition("=")
            if sign and name.isidentifier():
                fields[name] = value
            else:
                words.append(word)
        if record.exc_info:
            fields["error"] = self.format_error(record)
        eliot.log_message(
            "_".join(words[:3]) or "event",
            level=record.levelname.lower(),
            **({"text": " ".join(words)} if len(words) > 1 else {}),
            **fields,
        )

    def format_error(self, record: logging.LogRecord) -> str:
        """The traceback of a logged error; empty if it has none."""
        return logging.Formatter().formatException(record.exc_info) if record.exc_info else ""


def begin_logs(level: str) -> None:
    """From now on events go to standard error."""
    eliot.add_destinations(write)
    root = logging.getLogger("embersill")
    root.setLevel(level.upper())
    root.addHandler(Handler())
    root.propagate = False
