"""Tests of what every program stands on."""
