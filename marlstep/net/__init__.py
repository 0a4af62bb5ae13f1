"""Network I/O: the event loop, streams, ring buffers, framing and the message codec."""
