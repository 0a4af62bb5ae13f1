"""Raft consensus of a group of replicas on one log. It does no I/O; the caller passes in the time and randomness.

`raft` is the core of the protocol and uses `log`, `election`, `replication`, `snapshot_transfer` and `ready`.
`state_machine` applies the committed commands. `replica` combines both and, on the leader, runs `group_membership` and
`leader_duties`.
"""
