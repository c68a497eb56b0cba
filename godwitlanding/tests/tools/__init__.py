"""Programs that stand in for the outside world in tests."""
