"""Bytes in and out: the event loop, streams, ring buffers, framing and the codec of messages."""
