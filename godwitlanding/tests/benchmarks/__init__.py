"""Benchmarks, and what they share."""
