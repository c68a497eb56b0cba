"""Tests of the modules shared by all programs."""
