"""A soak of real programs under drawn faults, and what keeps its seeds."""
