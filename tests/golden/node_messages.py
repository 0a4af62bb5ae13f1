"""Every message between nodes of a fleet in its envelope, with all fields set and with only the required ones."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from marlstep.cluster import wire
from marlstep.consensus.log import Configuration, EntryType, LogEntry
from marlstep.consensus.messages import (
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshotChunk,
    InstallSnapshotResponse,
    LogRegressed,
    RequestVote,
    RequestVoteResponse,
    TimeoutNow,
)
from marlstep.consensus.replica_messages import CommandRequest, CommandResponse, JoinRequest
from marlstep.leases.messages import (
    DocumentState,
    DocumentStatus,
    Heartbeat,
    HeartbeatResponse,
    LeaseToken,
    QuotaShareRow,
    RelayAnnouncement,
    RequestCounts,
    ServerRecovered,
    TenantDemand,
)
from marlstep.membership.records import MemberRecord, MemberState
from marlstep.replicated_config.messages import DocumentChunk, FetchChunk
from tests.golden.conversation import KEY, Conversation, Sample

RECORDS = (
    MemberRecord("n1", "b1", 1_800_000_000_001, 1, MemberState.ALIVE, "127.0.0.1:7001", "east", ""),
    MemberRecord("n2", "b2", 1_800_000_000_002, 2, MemberState.SUSPECT, "127.0.0.2:7002", "west", "n1"),
    MemberRecord("n3", "b3", 1_800_000_000_003, 3, MemberState.FAILED, "[::1]:7003", "", "n2"),
    MemberRecord("n4", "b4", 1_800_000_000_004, 4, MemberState.LEFT, "127.0.0.4:7004"),
)
ENTRIES = (
    LogEntry(index=41, term=6, entry_type=EntryType.NOOP, body=""),
    LogEntry(
        index=42, term=7, entry_type=EntryType.COMMAND, body='{"m":"leases","do":"grant","name":"näme"}'
    ),
    LogEntry(index=43, term=7, entry_type=EntryType.CONFIGURATION, body='[["n1#a","n2#b"],["n3#c"]]'),
)
DOCUMENT_STATUSES = (
    DocumentStatus(
        name="tenants",
        version=3,
        digest="d3",
        prepared_version=4,
        prepared_digest="d4",
        strict=True,
        rollout_nodes=("n1", "n2"),
    ),
    DocumentStatus(name="servers", version=1, digest="d1"),
)
MESSAGES: Mapping[str, Any] = {
    "Append/full": AppendEntries(
        term=7, heartbeat_round=11, prev_log_index=40, prev_log_term=6, leader_commit=39, entries=ENTRIES
    ),
    "Append/defaults": AppendEntries(
        term=7, heartbeat_round=11, prev_log_index=40, prev_log_term=6, leader_commit=39
    ),
    "Appended/full": AppendEntriesResponse(term=7, heartbeat_round=11, success=True, match_index=43),
    "VoteAsk/full": RequestVote(
        term=8, pre_vote=True, leadership_transfer=True, last_log_index=43, last_log_term=7
    ),
    "Vote/full": RequestVoteResponse(term=8, requested_term=9, pre_vote=True, granted=True),
    "SnapshotPart/full": InstallSnapshotChunk(
        term=7,
        heartbeat_round=12,
        last_included_index=43,
        last_included_term=6,
        configuration=Configuration(voters=("n1#a", "n2#b"), learners=("n3#c",)),
        offset=4096,
        data='{"asked":[],"text":"ü\\u0000"}',
        done=True,
    ),
    "SnapshotTaken/full": InstallSnapshotResponse(
        term=7, heartbeat_round=12, last_included_index=43, offset=4096, done=True
    ),
    "ElectNow/full": TimeoutNow(term=7),
    "Forgot/full": LogRegressed(term=7, acknowledged_index=43),
    "Ask/full": CommandRequest(client="n2/b2", number=5, command='{"m":"rules","do":"get"}'),
    "Told/full": CommandResponse(number=5, applied=True, leader="n1", result='{"granted":"n2/b2"}'),
    "Told/defaults": CommandResponse(number=5, applied=False, leader="n1"),
    "Beat/full": Heartbeat(
        node="n2/b2",
        process_id="b2",
        number=17,
        wanted_leases=("task/a", "pool/é"),
        returned_leases=(LeaseToken("task/b", 21), LeaseToken("task/c", 22)),
        max_leases=9,
        clock_us=1_800_000_000_000_123,
        document_states=(
            DocumentState("tenants", 3, "in force", 250, ""),
            DocumentState("servers", 1, "held out", 10, 'why "not"'),
        ),
        request_counts=RequestCounts(100, 20, 3),
        failed_nodes=("n3", "n4"),
        tenant_demand=(TenantDemand("acme", 1500), TenantDemand("öst", 2)),
    ),
    "Beat/defaults": Heartbeat(node="n2/b2", process_id="b2", number=17, wanted_leases=()),
    "Beaten/full": HeartbeatResponse(
        number=17,
        from_leader=True,
        leader="n1",
        term=7,
        sequence=99,
        leases=(LeaseToken("task/a", 23), LeaseToken("pool/é", 24)),
        clock_drifts=True,
        documents=DOCUMENT_STATUSES,
        quota_shares=(QuotaShareRow("acme", 500_000, 250_000), QuotaShareRow("öst", 10_000, 10_000)),
    ),
    "Beaten/defaults": HeartbeatResponse(number=17, from_leader=False, leader=""),
    "Join/full": JoinRequest(node="n3", identity="n3#c"),
    "Probed/full": ServerRecovered(pool="front", server="127.0.0.1:9000", token=25),
    "Fetch/full": FetchChunk(name="tenants", version=3, offset=6144),
    "Piece/full": DocumentChunk(
        name="tenants", version=3, offset=6144, size=9000, data='{"tenants":{"ä":1}}'
    ),
    "Relay/full": RelayAnnouncement(holder="n2/b2", port=7102),
    "Exchanged/full": wire.ExchangeMessage(sender=RECORDS[:1], answer=True, records=RECORDS),
}


def _envelope(message: Any) -> wire.Envelope:
    return wire.Envelope(fleet="fleet-ä", group="1.feedbeef", sender="n1#a", to="n2/b2", message=message)


FRAMING = wire.stream_framing(KEY)
CONVERSATION = Conversation(
    file="node_messages.json",
    samples={name: Sample(_envelope(message)) for name, message in MESSAGES.items()},
    framing=FRAMING,
    write=wire.write_envelope,
    write_frame=lambda envelope: FRAMING.write(wire.write_envelope(envelope)),
    read=wire.read_envelope,
    message_path=(4,),
)
