"""Random choice that is reproducible by its seed, regardless of the interpreter's hash seed."""

from __future__ import annotations

from collections.abc import Sequence

from marlstep.consensus.raft import RandomSource


def sample(random: RandomSource, names: Sequence[str], count: int) -> list[str]:
    """Return up to `count` distinct random names.

    One random number is drawn per name in the order of `names`. A set must not be passed, since its order depends on
    the hash seed.
    """
    keys = {name: random.random() for name in names}
    return sorted(keys, key=lambda name: keys[name])[:count]
