"""JSON-line logs by eliot, on standard error."""

import json
import sys

from eliot import add_destinations, log_message

LEVELS = ("error", "warning", "info", "debug")


def set_up_logs(vm, role, level="info"):
    """Write each log message as a line that names its vm and role.

    A message's ``level`` field defaults to ``info``; messages below
    ``level`` are dropped.
    """
    highest = LEVELS.index(level)

    def write(message):
        if LEVELS.index(message.get("level", "info")) > highest:
            return
        line = {"vm": vm, "role": role, **message}
        sys.stderr.write(json.dumps(line, default=str) + "\n")

    add_destinations(write)


def log_error(message_type, **fields):
    """Log a message that an operator should look at."""
    log_message(message_type, level="error", **fields)


def log_warning(message_type, **fields):
    """Log a message that may need an operator."""
    log_message(message_type, level="warning", **fields)
