"""Logging: one line of key=value pairs per event, by eliot, to which standard logging is redirected."""

from __future__ import annotations

import logging
import sys
from typing import Any

import eliot

OMITTED_FIELDS = frozenset(("task_uuid", "task_level", "timestamp", "message_type"))


def line(message: dict[str, Any]) -> str:
    """An event as one line; empty values and values with a space are quoted."""
    words = [f"event={message.get('message_type', '')}"]
    for name, value in message.items():
        if name not in OMITTED_FIELDS:
            text = str(value).replace("\n", "\\n")
            words.append(f'{name}="{text}"' if " " in text or not text else f"{name}={text}")
    return " ".join(words)


def write(message: dict[str, Any]) -> None:
    """Writes one event to standard error."""
    print(line(message), file=sys.stderr, flush=True)


class Handler(logging.Handler):
    """Passes log records to eliot; `name=value` words of the message become fields."""

    def emit(self, record: logging.LogRecord) -> None:
        """Passes one record on; the first three other words of its message name the event."""
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


def log_event(name: str, **fields: str) -> None:
    """Writes an event whatever the level is."""
    eliot.log_message(name, **fields)


def start_logging(level: str) -> None:
    """Sends events to standard error from now on, at this level and above."""
    eliot.add_destinations(write)
    root = logging.getLogger("embersill")
    root.setLevel(level.upper())
    root.addHandler(Handler())
    root.propagate = False
