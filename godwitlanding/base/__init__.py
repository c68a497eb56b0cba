"""Shared by all programs: kernel, logs, metrics, messages and settings."""
