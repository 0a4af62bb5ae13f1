"""Frontends: translate between the client protocols and the requests and responses of the core."""
