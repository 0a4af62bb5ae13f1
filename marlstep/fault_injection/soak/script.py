"""The script of one soak: a seeded series of steps on the processes of a node and on what surrounds them. No I/O."""

from __future__ import annotations

import enum
import random
from dataclasses import dataclass

MIN_LENGTH_S, MAX_LENGTH_S = 20.0, 40.0
PAUSE_S = (0.2, 2.0)  # between the end of a step and the next one
KILL_DELAY_S = (0.0, 1.5)  # from the start of a process until it or its predecessor is killed
MAX_SIGNALS = 5  # of one series
CROWD_SHARE = 1 / 3  # of the seeds
OPERATOR_FILE_SHARE = 1 / 2  # of the seeds


class Action(enum.Enum):
    """What a step does. A process that gets SIGTERM is killed at the earliest time that the platform permits."""

    UPGRADE = "upgrade"  # a new process, and SIGTERM to the old one once the new one serves
    UPGRADE_TWICE = "upgrade twice"  # a second new process while the first old one still finishes
    KILL_NEW = "kill new"  # the new process is killed while it starts or serves, and replaced
    KILL_NEW_IN_HANDOVER = "kill new in handover"  # after SIGTERM to the old one; a third process replaces it
    KILL_OLD = "kill old"  # the old process is killed beside the new one
    KILL_ALONE = "kill alone"  # the only process is killed, and replaced
    DRAIN = "drain"  # SIGTERM without a successor; a new process follows
    RELOAD_SERIES = "reload series"  # SIGHUP several times at once, with a class removed and brought back
    RELOAD_IN_DRAIN = "reload in drain"  # SIGTERM and SIGHUP in either order, without a successor
    RELOAD_IN_START = "reload in start"  # SIGHUP to a process that starts
    TERMINATE_TWICE = "terminate twice"  # SIGTERM twice in an upgrade
    QUIESCE = "quiesce"  # and resume
    HALVE_MEMORY = "halve memory"  # settings with half of the memory, and back
    NAMING_AWAY = "naming away"  # the name service does not receive during an upgrade
    SLOW_DATABASE = "slow database"
    SILENT_DATABASE = "silent database"


@dataclass(slots=True, frozen=True)
class Step:
    """One step of a script.

    Attributes:
        action: What is done.
        pause_s: Time from the end of the previous step, in seconds.
        delay_s: Time within the step, of which the action says what it delays, in seconds.
        signals: Number of signals, for actions that send a series.
        first: Whether the first of two orders or victims is chosen.
    """

    action: Action
    pause_s: float
    delay_s: float
    signals: int
    first: bool


@dataclass(slots=True, frozen=True)
class Script:
    """What happens in one soak."""

    seed: int
    length_s: float
    has_operator_file: bool  # uwsgi and administration
    has_crowd: bool
    steps: tuple[Step, ...]


def draw_script(seed: int) -> Script:
    """Return the script of a seed; the steps end when `length_s` has passed, even if some of them are left."""
    chance = random.Random(f"soak {seed}")
    length_s = chance.uniform(MIN_LENGTH_S, MAX_LENGTH_S)
    has_operator_file = chance.random() < OPERATOR_FILE_SHARE
    has_crowd = chance.random() < CROWD_SHARE
    actions = list(Action)
    steps = tuple(
        Step(
            chance.choice(actions),
            chance.uniform(*PAUSE_S),
            chance.uniform(*KILL_DELAY_S),
            chance.randint(2, MAX_SIGNALS),
            chance.random() < 0.5,
        )
        for _ in range(int(length_s))
    )
    return Script(seed, length_s, has_operator_file, has_crowd, steps)
