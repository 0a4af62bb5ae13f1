"""Runs a cluster node on sockets and disk: carries out the decisions of consensus, leases and scheduled tasks.

Loaded only if the operator's file has a `[fleet]` section.
"""
