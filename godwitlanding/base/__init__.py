"""What every program stands on: kernel, logs, metrics, messages, settings."""
