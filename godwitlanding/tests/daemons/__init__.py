"""Tests of the daemons ``godwit-steer``, ``-entry`` and ``-zone``."""
