"""Forwards callers' requests to upstreams, one process on each entry VM."""
