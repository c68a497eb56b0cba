"""Carries requests on the users' machines: one process on each entry VM."""
