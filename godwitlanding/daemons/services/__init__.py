"""The services that the daemons run, looked up by name in the kernel."""
