"""Benchmarks and the helper modules that they share."""
