"""Scenarios that run two versions of the program together as real processes on loopback, and their checks."""
