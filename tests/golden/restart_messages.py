"""Every message between the predecessor and the successor process of a node."""

from __future__ import annotations

from collections.abc import Mapping

from marlstep.hot_restart import messages
from tests.golden.conversation import Conversation, Sample

MEASUREMENTS: dict[str, object] = {
    "limit": 12.5,
    "base_us": 900.0,
    "call_usual_us": 9000.0,
    "call_mean_us": 9500.0,
    "means_us": {"temp-history": 300000.0},
}
MESSAGES: Mapping[str, messages.Message] = {
    "Hello/full": messages.Hello(
        generation=3, pid=4321, wants_traffic=False, successor_generation=2, measurements=MEASUREMENTS
    ),
    "Hello/defaults": messages.Hello(generation=3, pid=4321),
    "Name/full": messages.KeyStatus(
        request_class="book",
        idempotency_key="k-1",
        request_label="id-1",
        expires_at_us=1_800_000_000_000_123,
        result="done\x00\xff",
        finished=True,
    ),
    "Name/defaults": messages.KeyStatus(request_class="book", idempotency_key="k-1", request_label="id-1"),
    "Gone/full": messages.KeyReleased(request_class="book", idempotency_key="k-1", request_label="id-1"),
    "Whole/full": messages.SnapshotComplete(),
    "Claim/full": messages.ClaimRequest(
        number=5, request_class="book", idempotency_key="k-1", request_label="id-1"
    ),
    "Claimed/full": messages.ClaimResponse(number=5, granted=True),
    "Give/full": messages.CapacityGrant(capacity_share=0.375),
    "Ready/full": messages.SuccessorReady(),
    "Duty/full": messages.ServingStateChanged(wants_traffic=True),
    "Leaves/full": messages.SuccessorDraining(has_successor=True),
    "Done/full": messages.PredecessorDone(),
}
CONVERSATION = Conversation(
    file="restart_messages.json",
    samples={name: Sample(message) for name, message in MESSAGES.items()},
    framing=messages.FRAMING,
    write=messages.CODEC.write,
    write_frame=messages.write,
    read=messages.CODEC.read,
    message_path=(),
)
