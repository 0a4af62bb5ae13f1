"""Random choice that repeats with the seed, whatever the hash seed of the interpreter."""

from __future__ import annotations

from collections.abc import Sequence

from marlstep.consensus.raft import RandomSource


def sample(random: RandomSource, names: Sequence[str], count: int) -> list[str]:
    """Return up to `count` distinct names. One number is drawn for each name, in the order given: pass no set."""
    keys = {name: random.random() for name in names}
    return sorted(keys, key=lambda name: keys[name])[:count]
