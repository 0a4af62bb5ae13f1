"""Replay of a schedule against nodes, on sockets or on a simulated clock, and the service that they gave."""
