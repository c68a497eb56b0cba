"""Stand-ins of what is outside: stores, upstreams, their bodies."""
