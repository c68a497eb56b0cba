"""The users' platform: its names and formats, decoded once, nothing decided.

Nothing of the product imports this package but ``godwitlanding.program``,
which assembles the program that runs on the platform, and its command.
"""
