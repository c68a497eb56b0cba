"""Global traffic steering for upstreams with a fixed number of slots."""

__version__ = "0.1.0"
