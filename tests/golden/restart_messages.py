"""Every message between the predecessor and the successor process of a node."""

from __future__ import annotations

from collections.abc import Mapping

from marlstep.handover import wire
from tests.golden.conversation import Conversation, Sample

LEARNT: dict[str, object] = {
    "limit": 12.5,
    "base_us": 900.0,
    "call_usual_us": 9000.0,
    "call_mean_us": 9500.0,
    "means_us": {"temp-history": 300000.0},
}
MESSAGES: Mapping[str, wire.Message] = {
    "Hello/full": wire.Hello(generation=3, pid=4321, wanted=False, taken=2, learnt=LEARNT),
    "Hello/defaults": wire.Hello(generation=3, pid=4321),
    "Name/full": wire.Name(
        kind="book", once="k-1", id="id-1", until_us=1_800_000_000_000_123, result="done\x00\xff", over=True
    ),
    "Name/defaults": wire.Name(kind="book", once="k-1", id="id-1"),
    "Gone/full": wire.Gone(kind="book", once="k-1", id="id-1"),
    "Whole/full": wire.Whole(),
    "Claim/full": wire.Claim(number=5, kind="book", once="k-1", id="id-1"),
    "Claimed/full": wire.Claimed(number=5, granted=True),
    "Give/full": wire.Give(share=0.375),
    "Ready/full": wire.Ready(),
    "Duty/full": wire.Duty(wanted=True),
    "Leaves/full": wire.Leaves(succeeded=True),
    "Done/full": wire.Done(),
}
CONVERSATION = Conversation(
    file="restart_messages.json",
    samples={name: Sample(message) for name, message in MESSAGES.items()},
    framing=wire.FRAMING,
    write=wire.CODEC.write,
    write_frame=wire.write,
    read=wire.CODEC.read,
    message_path=(),
)
