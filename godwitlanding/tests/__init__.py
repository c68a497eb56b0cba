"""Tests of godwitlanding."""
