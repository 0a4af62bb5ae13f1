"""Emulators of the kernel, a database and uwsgi servers on loopback, for replays, drills and tests of a node."""
