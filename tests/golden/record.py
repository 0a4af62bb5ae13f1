"""Rewrites the golden files of messages after a deliberate change of the wire format.

Run as `python -m tests.golden.record`.
"""

from __future__ import annotations

import json
from dataclasses import asdict
from pathlib import Path

import orjson

from marlstep.net.framing import CorruptError
from tests.golden import datagrams, node_messages, restart_messages, snapshots
from tests.golden.conversation import Conversation, Golden

CONVERSATIONS = (node_messages.CONVERSATION, datagrams.CONVERSATION, restart_messages.CONVERSATION)


def reads_without(conversation: Conversation, body: bytes, key: str) -> bool:
    """Return whether a message can be read without this key."""
    document = orjson.loads(body)
    del conversation.message_in(document)[1][key]
    try:
        conversation.read(orjson.dumps(document))
    except CorruptError:
        return False
    return True


def golden(conversation: Conversation, written: object) -> Golden:
    body, frame = conversation.write(written), conversation.write_frame(written)
    assert frame.endswith(body)
    keys = list(conversation.message_in(orjson.loads(body))[1])
    optional = [key for key in keys if reads_without(conversation, body, key)]
    return Golden(
        head=frame[: -len(body)].hex(),
        body=body.decode(),
        required=[key for key in keys if key not in optional],
        optional=optional,
    )


def save(path: Path, rows: object) -> None:
    path.write_text(json.dumps(rows, indent=1, ensure_ascii=False) + "\n")


def main() -> None:
    for conversation in CONVERSATIONS:
        rows = {
            name: asdict(golden(conversation, sample.written))
            for name, sample in conversation.samples.items()
        }
        save(conversation.path, rows)
    save(snapshots.PATH, snapshots.written())


if __name__ == "__main__":
    main()
