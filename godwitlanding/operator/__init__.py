"""Implementation of the ``godwitctl`` commands."""
