"""Adapter to the users' platform: decodes its names and formats.

The package makes no decisions. Only ``godwitlanding.program``, which
assembles the process that runs on the platform, and its command
``godwitlanding.vm`` import it.
"""
