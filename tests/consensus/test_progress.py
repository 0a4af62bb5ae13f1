"""The leader's view of the replication progress of a member."""

from __future__ import annotations

from datetime import timedelta

from marlstep.consensus.progress import PeerProgress
from marlstep.units import EPOCH


def test_an_accepted_append_ends_probing_and_never_moves_the_match_index_back() -> None:
    peer = PeerProgress(next_index=5, probe_in_flight=True)
    assert peer.record_match(7, heartbeat_round=3)
    assert (peer.match_index, peer.match_round, peer.next_index) == (7, 3, 8)
    assert not peer.probing and not peer.probe_in_flight
    assert not peer.record_match(6, heartbeat_round=4)
    assert (peer.match_index, peer.match_round, peer.next_index) == (7, 3, 8)


def test_a_rejection_probes_at_the_hint_but_not_before_the_match_index() -> None:
    peer = PeerProgress(next_index=20, match_index=4, probing=False, snapshot_offset=9)
    peer.record_rejection(hint=11)
    assert (peer.next_index, peer.probing, peer.snapshot_offset) == (12, True, None)
    peer.record_rejection(hint=50)
    assert peer.next_index == 11  # at least one entry before the previous probe
    peer.record_rejection(hint=0)
    assert peer.next_index == 5


def test_an_older_round_does_not_lower_the_acknowledged_round() -> None:
    peer = PeerProgress(next_index=1)
    peer.record_contact(EPOCH, 6)
    peer.record_contact(EPOCH + timedelta(seconds=1), 5)
    assert peer.acknowledged_round == 6 and peer.last_contact == EPOCH + timedelta(seconds=1)
