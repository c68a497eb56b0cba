"""Decision logic of the gateway: no I/O, and time is passed in as a number."""
