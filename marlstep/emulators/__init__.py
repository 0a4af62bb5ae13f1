"""Servers of our own that stand in for the platform and for uwsgi servers, on loopback."""
