"""Requests, attempts, outcomes and deadlines. Nothing here knows a wire."""
