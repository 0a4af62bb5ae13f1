"""Compatibility of heartbeats and their responses with older and newer versions of the program."""

from __future__ import annotations

import json

from marlstep.cluster.wire import CODEC
from marlstep.leases.messages import DocumentStatus, Heartbeat, HeartbeatResponse


def test_heartbeats_of_older_and_responses_of_newer_programs_are_read() -> None:
    heartbeat = CODEC.dump(Heartbeat("a", "1", 2, ("x",)))
    older_heartbeat = [
        heartbeat[0],
        {key: value for key, value in dict(heartbeat[1]).items() if key not in ("acts", "figures")},  # type: ignore[call-overload]
    ]
    assert CODEC.load(json.loads(json.dumps(older_heartbeat))) == Heartbeat("a", "1", 2, ("x",))
    status = {"name": "d", "version": 1, "digest": "", "pending": 0, "pending_digest": "", "strict": False}
    newer_response = [
        "Beaten",
        {"number": 1, "good": True, "leader": "a", "news": [status], "of_tomorrow": [1]},
    ]
    assert CODEC.load(newer_response) == HeartbeatResponse(
        1, True, "a", documents=(DocumentStatus("d", 1, ""),)
    )
