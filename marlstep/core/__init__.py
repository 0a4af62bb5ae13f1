"""Requests, attempts, outcomes and deadlines. This package is independent of the wire protocols."""
