"""A node's part in a fleet, on sockets and disk: it carries out what consensus, leases and tasks decide.

Loaded only where the operator's file has `[fleet]`.
"""
