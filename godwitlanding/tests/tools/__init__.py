"""Tools that start whole systems of processes, for tests and demos."""
