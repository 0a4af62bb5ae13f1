"""Scheduled tasks, each run by one process of the group at a time. Does no I/O."""
