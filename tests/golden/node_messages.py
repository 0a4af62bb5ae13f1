"""Every message between nodes of a fleet, in its envelope: with all fields set, and with its defaults."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from marlstep.cluster import wire
from marlstep.consensus.log import Entry, Group, Kind
from marlstep.consensus.messages import (
    Append,
    Appended,
    ElectNow,
    Forgot,
    SnapshotPart,
    SnapshotTaken,
    Vote,
    VoteAsk,
)
from marlstep.consensus.replica import Ask, Join, Told
from marlstep.leases.messages import Beat, Beaten, News, Probed, Relay
from marlstep.membership.records import Record, State
from marlstep.replicated_config.messages import Fetch, Piece
from tests.golden.conversation import KEY, Conversation, Sample

RECORDS = (
    Record("n1", "b1", 1_800_000_000_001, 1, State.ALIVE, "127.0.0.1:7001", "east", ""),
    Record("n2", "b2", 1_800_000_000_002, 2, State.SUSPECT, "127.0.0.2:7002", "west", "n1"),
    Record("n3", "b3", 1_800_000_000_003, 3, State.FAILED, "[::1]:7003", "", "n2"),
    Record("n4", "b4", 1_800_000_000_004, 4, State.LEFT, "127.0.0.4:7004"),
)
ENTRIES = (
    Entry(index=41, term=6, kind=Kind.EMPTY, body=""),
    Entry(index=42, term=7, kind=Kind.COMMAND, body='{"m":"leases","do":"grant","name":"näme"}'),
    Entry(index=43, term=7, kind=Kind.GROUP, body='[["n1#a","n2#b"],["n3#c"]]'),
)
NEWS = (
    News(
        name="tenants",
        version=3,
        digest="d3",
        pending=4,
        pending_digest="d4",
        strict=True,
        on=("n1", "n2"),
    ),
    News(name="servers", version=1, digest="d1"),
)
MESSAGES: Mapping[str, Any] = {
    "Append/full": Append(term=7, round=11, prev=40, prev_term=6, commit=39, entries=ENTRIES),
    "Append/defaults": Append(term=7, round=11, prev=40, prev_term=6, commit=39),
    "Appended/full": Appended(term=7, round=11, good=True, last=43),
    "VoteAsk/full": VoteAsk(term=8, pre=True, forced=True, last=43, last_term=7),
    "Vote/full": Vote(term=8, asked=9, pre=True, granted=True),
    "SnapshotPart/full": SnapshotPart(
        term=7,
        round=12,
        index=43,
        index_term=6,
        group=Group(voters=("n1#a", "n2#b"), learners=("n3#c",)),
        offset=4096,
        data='{"asked":[],"text":"ü\\u0000"}',
        done=True,
    ),
    "SnapshotTaken/full": SnapshotTaken(term=7, round=12, index=43, offset=4096, done=True),
    "ElectNow/full": ElectNow(term=7),
    "Forgot/full": Forgot(term=7, said=43),
    "Ask/full": Ask(by="n2/b2", number=5, command='{"m":"rules","do":"get"}'),
    "Told/full": Told(number=5, done=True, leader="n1", result='{"granted":"n2/b2"}'),
    "Told/defaults": Told(number=5, done=False, leader="n1"),
    "Beat/full": Beat(
        node="n2/b2",
        boot="b2",
        number=17,
        wants=("task/a", "pool/é"),
        returns=(("task/b", 21), ("task/c", 22)),
        most=9,
        clock_us=1_800_000_000_000_123,
        acts=(("tenants", 3, "in force", 250, ""), ("servers", 1, "held out", 10, 'why "not"')),
        figures=(100, 20, 3),
        failed=("n3", "n4"),
        demand=(("acme", 1500), ("öst", 2)),
    ),
    "Beat/defaults": Beat(node="n2/b2", boot="b2", number=17, wants=()),
    "Beaten/full": Beaten(
        number=17,
        good=True,
        leader="n1",
        term=7,
        count=99,
        leases=(("task/a", 23), ("pool/é", 24)),
        drifts=True,
        news=NEWS,
        shares=(("acme", 500_000, 250_000), ("öst", 10_000, 10_000)),
    ),
    "Beaten/defaults": Beaten(number=17, good=False, leader=""),
    "Join/full": Join(node="n3", identity="n3#c"),
    "Probed/full": Probed(pool="front", server="127.0.0.1:9000", token=25),
    "Fetch/full": Fetch(name="tenants", version=3, offset=6144),
    "Piece/full": Piece(name="tenants", version=3, offset=6144, size=9000, data='{"tenants":{"ä":1}}'),
    "Relay/full": Relay(holder="n2/b2", port=7102),
    "Exchanged/full": wire.Exchanged(me=RECORDS[:1], answer=True, records=RECORDS),
}


def _envelope(message: Any) -> wire.Envelope:
    return wire.Envelope(fleet="fleet-ä", group="1.feedbeef", sender="n1#a", to="n2/b2", message=message)


FRAMING = wire.framing(KEY)
CONVERSATION = Conversation(
    file="node_messages.json",
    samples={name: Sample(_envelope(message)) for name, message in MESSAGES.items()},
    framing=FRAMING,
    write=wire.write,
    write_frame=lambda envelope: FRAMING.write(wire.write(envelope)),
    read=wire.read,
    message_path=(4,),
)
