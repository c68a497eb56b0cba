"""Tests of the operators' command-line interface."""
