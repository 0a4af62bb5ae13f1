"""Servers that fronts of our own send work on to."""
