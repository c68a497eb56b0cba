"""Decision logic of all programs: no I/O, and the time is an argument."""
