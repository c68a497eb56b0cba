"""Decisions of the gateway that need no network, only a number for time."""
