"""Benchmarks: programs that measure the node and its parts, each printing one JSON object."""
