"""Soak test of real VM processes under random faults, and its regressions."""
