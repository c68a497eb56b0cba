"""Writes eliot log messages to standard error as JSON lines."""

import json
import sys

from eliot import add_destinations, log_message

LEVELS = ("error", "warning", "info", "debug")


def set_up_logs(vm, role, level="info"):
    """Write each log message as a JSON line with the vm and role.

    The ``level`` field of a message defaults to ``info``; messages less
    severe than ``level`` are dropped.
    """
    highest = LEVELS.index(level)

    def write(message):
        if LEVELS.index(message.get("level", "info")) > highest:
            return
        line = {"vm": vm, "role": role, **message}
        sys.stderr.write(json.dumps(line, default=str) + "\n")

    add_destinations(write)


def log_error(message_type, **fields):
    """Log a message at level ``error``: an operator should look at it."""
    log_message(message_type, level="error", **fields)


def log_warning(message_type, **fields):
    """Log a message at level ``warning``: it may need an operator."""
    log_message(message_type, level="warning", **fields)
