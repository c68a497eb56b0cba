"""Test stand-ins for external systems: stores, upstreams and zone peers."""
