"""Regenerates the stored digests of the controller's actions: `python -m tests.admission.record`. No test does so."""

from __future__ import annotations

import json
from pathlib import Path

from tests.admission.random_server import RandomServer, variants

DIGESTS = Path(__file__).parent / "action_digests.json"
SEEDS_PER_VARIANT = 500
SEEDS_PER_DIGEST = 50


def digests_of(variant: str) -> list[str]:
    """Return one digest for each group of `SEEDS_PER_DIGEST` sequences."""
    settings = variants()[variant]
    found = []
    for first in range(0, SEEDS_PER_VARIANT, SEEDS_PER_DIGEST):
        played = [RandomServer(settings, seed).play() for seed in range(first, first + SEEDS_PER_DIGEST)]
        found.append("".join(digest[:6] for digest in played))
    return found


def main() -> None:
    DIGESTS.write_text(json.dumps({variant: digests_of(variant) for variant in variants()}, indent=1) + "\n")


if __name__ == "__main__":
    main()
