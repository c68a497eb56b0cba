"""Tests of the three daemons."""
