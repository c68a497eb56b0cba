"""Services that the daemons start, found by name."""
