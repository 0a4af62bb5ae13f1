"""A configuration in the format that the simulator sends."""

from __future__ import annotations

from typing import Any

CONF: dict[str, Any] = {
    "classes": [
        {
            "name": "read",
            "semantics": "idempotent",
            "aimUs": 2_000_000,
            "hardLimitUs": 4_000_000,
            "repeatWindowUs": 5_000_000,
            "worth": 1.0,
            "lateShare": 0.0,
        },
        {
            "name": "book",
            "semantics": "deduplicated",
            "aimUs": 2_000_000,
            "hardLimitUs": 4_000_000,
            "repeatWindowUs": 8_000_000,
            "worth": 3.0,
            "lateShare": 0.0,
        },
    ],
    "familyInfo": {"cpus": 2, "ramKb": 1000.0, "runMemFactor": 4.0, "keyKb": 5.0, "halt": "suspend"},
    "rules": {
        "answerSlackUs": 60_000,
        "drainGraceUs": 1_000_000,
        "fallMultiple": 8.0,
        "fallUs": 1_500_000,
    },
    "caps": {},
    "resolutionUs": 5000,
}
