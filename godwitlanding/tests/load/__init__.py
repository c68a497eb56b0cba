"""Load for a system or a model of one, and what callers received."""
