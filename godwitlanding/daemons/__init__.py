"""Modules of the daemons ``godwit-steer``, ``-entry`` and ``-zone``."""
