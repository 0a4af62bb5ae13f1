"""Bytes: the event loop, streams, ring buffers, lines."""
