"""Replaying a schedule against a node: senders, the service figure, on sockets or on a clock moved by hand."""
