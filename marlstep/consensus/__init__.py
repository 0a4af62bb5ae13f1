"""Consensus of a group of replicas on one log, after Raft; no I/O, and the time and randomness are passed in.

`raft` is the protocol's core, over `log`, `election`, `replication`, `snapshot_transfer` and `ready`. `state_machine`
applies the log's commands. `replica` puts both together, with `group_membership` and `leader_duties` for the leader.
"""
