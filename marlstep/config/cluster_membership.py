"""Reads `[fleet.members]`: settings of the failure detector and the roster."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from datetime import timedelta

from marlstep.config.cluster_settings import MembershipConfig
from marlstep.config.readers import (
    Address,
    ConfigError,
    Table,
    check_known_keys,
    read_int,
    read_number,
    read_table,
    read_word,
    read_words,
)
from marlstep.membership.detector_settings import DetectorSettings
from marlstep.membership.records import MAX_NAME_LENGTH
from marlstep.membership.roster_controller import RosterSettings
from marlstep.units import MILLISECOND

PATH = "fleet.members"
KEYS = ("period_ms", "answer_ms", "probation_ms", "guard", "zone", "seeds")
MIN_TIMEOUTS_PER_INTERVAL = 3  # the time after a probe timeout is for indirect probes
MAX_SHOWN_CHARACTERS = 80  # of a node name that is too long, in an error


def read_membership(raw: Table, nodes: Mapping[str, Address], voters: tuple[str, ...]) -> MembershipConfig:
    """Read the section, which must be present, from `[fleet]`.

    Args:
        raw: the table `[fleet]`.
        nodes: address of each node, by name.
        voters: names of the voters, which are the default for the seeds.

    Raises:
        ConfigError: a key is missing, unknown or has a wrong value, or a node's name is too long.
    """
    section = read_table(raw, "members", PATH)
    check_known_keys(section, PATH, KEYS)
    detector = _read_detector(section)
    probation = _read_ms(section, "probation_ms", 0, 600_000, 2_000)
    seeds = _read_seeds(section, nodes) if "seeds" in section else voters
    _check_names(nodes)
    zone = _read_zone(section)
    max_failed_share = read_number(section, "guard", f"{PATH}.guard", 0.05, 1.0, 0.3)
    return MembershipConfig(
        detector, RosterSettings(probation=probation, max_failed_share=max_failed_share), zone, seeds
    )


def _read_ms(section: Table, key: str, minimum: int, maximum: int, default: int) -> timedelta:
    return read_int(section, key, f"{PATH}.{key}", minimum, maximum, default) * MILLISECOND


def _read_detector(section: Table) -> DetectorSettings:
    probe_interval = _read_ms(section, "period_ms", 100, 60_000, 500)
    probe_timeout = _read_ms(section, "answer_ms", 10, 20_000, 150)
    if probe_timeout * MIN_TIMEOUTS_PER_INTERVAL > probe_interval:
        raise ConfigError.unmet(
            f"{PATH}.answer_ms", "must be at most a third of period_ms: the rest is for indirect probes"
        )
    return DetectorSettings(probe_interval=probe_interval, probe_timeout=probe_timeout)


def _read_seeds(section: Table, nodes: Mapping[str, Address]) -> tuple[str, ...]:
    seeds = tuple(read_words(section, "seeds", f"{PATH}.seeds"))
    for name in seeds:
        if name not in nodes:
            raise ConfigError.found(f"{PATH}.seeds", f"{name} is not in fleet.nodes")
    return seeds


def _check_names(nodes: Iterable[str]) -> None:
    for name in nodes:
        if len(name) > MAX_NAME_LENGTH:
            raise ConfigError.found(
                f"fleet.nodes.{name[:MAX_SHOWN_CHARACTERS]}",
                f"with {PATH} a node's name must have at most {MAX_NAME_LENGTH} characters",
            )


def _read_zone(section: Table) -> str:
    zone = read_word(section, "zone", f"{PATH}.zone") if "zone" in section else ""
    if len(zone) > MAX_NAME_LENGTH:
        raise ConfigError.unmet(f"{PATH}.zone", f"has {MAX_NAME_LENGTH} characters at most")
    return zone
