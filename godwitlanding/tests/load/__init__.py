"""Load generators, models under load, and checks of callers' results."""
