"""What ``godwitctl`` does for operators."""
