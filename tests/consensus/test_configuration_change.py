"""Configuration changes by one voter at a time."""

from __future__ import annotations

from datetime import timedelta

import pytest

from marlstep.consensus.configuration_change import ConfigurationChangeRejectedError
from marlstep.consensus.log import Configuration, PersistentState
from tests.consensus.support import RaftCluster


def test_voters_are_added_and_removed_one_at_a_time() -> None:
    cluster = RaftCluster()
    leader = cluster.leader()
    four_voters = (*leader.configuration.voters, "v3#1")
    with pytest.raises(ConfigurationChangeRejectedError, match="one voter"):
        leader.change_configuration(Configuration((*four_voters, "v4#1")))
    leader.change_configuration(Configuration(leader.configuration.voters, ("v3#1",)))
    with pytest.raises(ConfigurationChangeRejectedError, match="not committed"):
        leader.change_configuration(Configuration(four_voters))
    cluster.add("v3#1", PersistentState(), 9)
    cluster.pass_time(timedelta(milliseconds=400))
    leader.change_configuration(Configuration(four_voters))
    cluster.pass_time(timedelta(milliseconds=400))
    assert cluster.members["v3#1"].configuration.voters == four_voters
    remaining = tuple(name for name in four_voters if name != leader.identity)
    leader.change_configuration(Configuration(remaining))
    cluster.pass_time(timedelta(milliseconds=300))
    assert not leader.is_leader  # it stepped down once its own removal was committed
    assert cluster.leader().identity in remaining
