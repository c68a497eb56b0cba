"""Parts of the three daemons ``godwit-steer``, ``-entry`` and ``-zone``."""
