"""How a node follows the versions that are active or prepared in the group."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from marlstep.leases.messages import DocumentStatus
from marlstep.replicated_config.documents import (
    content_digest,
)
from marlstep.replicated_config.followed_document import FollowerState
from marlstep.replicated_config.follower_actions import (
    AcknowledgeVersion,
    ActivateVersion,
    ProposeFirstVersion,
    SuspendDocument,
)
from marlstep.replicated_config.messages import FetchChunk
from marlstep.units import SECOND, ZERO
from tests.replicated_config.support import NOW, PLAIN, STRICT, FollowerHarness


def test_a_version_is_activated_once_committed_and_the_old_one_stays_active_until_then() -> None:
    node = FollowerHarness(PLAIN)
    assert node.receive(1) == ["ActivateVersion"] and node.document.version == 1
    assert node.receive(1, 2) == ["AcknowledgeVersion"] and node.document.state is FollowerState.ACTIVE
    assert node.receive(1, 2) == []  # acknowledged only once
    assert node.receive(2) == ["ActivateVersion"] and node.document.content == "[2]"


def test_a_strict_document_is_suspended_before_the_acknowledgement_and_resumes_on_withdrawal() -> None:
    node = FollowerHarness(STRICT)
    node.receive(1)
    assert (
        node.receive(1, 2) == ["SuspendDocument", "AcknowledgeVersion"]
        and node.document.state is FollowerState.SUSPENDED
    )
    assert node.receive(1, 2) == [] and node.document.state is FollowerState.SUSPENDED
    # Also after its lease has expired in between.
    node.follower.tick(NOW, ZERO)
    assert node.receive(1, 2) == [] and node.document.state is FollowerState.SUSPENDED
    assert node.receive(1) == ["ActivateVersion"] and node.document.version == 1
    node.receive(1, 3)
    assert node.receive(3) == ["ActivateVersion"] and node.document.version == 3


def test_nothing_is_active_without_a_lease_or_after_a_restart() -> None:
    node = FollowerHarness(PLAIN)
    [stop] = node.follower.start()
    assert isinstance(stop, SuspendDocument)
    assert node.receive(1, lease_left=ZERO) == [] and node.document.state is FollowerState.UNKNOWN
    node.receive(1)
    [stop] = node.follower.tick(NOW, ZERO)
    assert isinstance(stop, SuspendDocument) and not node.follower.tick(NOW, ZERO)
    assert node.receive(2) == ["ActivateVersion"]


def test_a_node_that_rejects_a_version_stops_when_it_is_committed() -> None:
    node = FollowerHarness(STRICT, rejection="an older program")
    node.receive(1)
    assert node.receive(1, 2) == ["SuspendDocument", "AcknowledgeVersion"]
    assert isinstance(node.actions[1], AcknowledgeVersion) and node.actions[1].rejection == "an older program"
    assert node.receive(2) == ["SuspendDocument"] and node.document.state is FollowerState.EXCLUDED
    assert node.receive(2, 3) == ["AcknowledgeVersion"] and node.document.state is FollowerState.EXCLUDED


def test_a_document_missing_in_the_group_is_proposed_from_the_files_and_again_after_the_retry_interval() -> (
    None
):
    node = FollowerHarness(PLAIN)
    assert [type(action) for action in node.follower.handle_statuses(NOW, (), SECOND)] == [
        ProposeFirstVersion
    ]
    assert node.follower.handle_statuses(NOW, (), SECOND) == []
    assert [type(action) for action in node.follower.handle_statuses(NOW + 4 * SECOND, (), SECOND)] == [
        ProposeFirstVersion
    ]


def test_a_pinned_document_ignores_the_group_until_it_is_unpinned() -> None:
    node = FollowerHarness(PLAIN)
    node.receive(1)
    assert node.follower.pin(NOW, "d", "[9]") == [ActivateVersion("d", -1, "[9]")]
    assert node.receive(2) == [] and node.follower.tick(NOW, ZERO) == []
    assert isinstance(node.follower.unpin("d")[0], SuspendDocument)
    assert node.receive(2) == ["ActivateVersion"]


@given(st.lists(st.tuples(st.integers(1, 3), st.integers(0, 3), st.booleans()), max_size=30), st.booleans())
def test_a_strict_document_is_never_active_after_its_acknowledgement(
    steps: list[tuple[int, int, bool]], strict: bool
) -> None:
    node = FollowerHarness(STRICT if strict else PLAIN)
    version = 1
    for committed, prepared, has_lease in steps:
        version = max(version, committed)  # the active version of the group never decreases
        node.receive(version, prepared if prepared > version else 0, SECOND if has_lease else ZERO)
        if not has_lease:
            node.follower.tick(NOW, ZERO)
            assert node.document.state is not FollowerState.ACTIVE
        elif strict and prepared > version:
            assert (
                node.document.state is FollowerState.SUSPENDED
                and node.document.acknowledged_version == prepared
            )
        else:
            assert node.document.state is FollowerState.ACTIVE and node.document.version == version


def test_a_node_of_a_rollout_activates_the_version_first_and_returns_to_the_old_one_on_withdrawal() -> None:
    node, other = FollowerHarness(PLAIN), FollowerHarness(PLAIN)
    node.follower.node = "b"
    for harness in (node, other):
        harness.receive(1)
        harness.receive(1, 2)
        harness.receive(1, 2, rollout_nodes=("b",))
    assert node.document.version == 2 and other.document.version == 1
    assert node.follower.document_states(NOW)[0][4] == "a stage: it is among the first"
    assert node.receive(1) == ["ActivateVersion"] and node.document.version == 1  # its content was kept


def test_a_node_with_a_regained_lease_suspends_an_outdated_version() -> None:
    node = FollowerHarness(STRICT)
    node.receive(1)
    status = DocumentStatus("d", 2, content_digest("[2]"), strict=True)
    # The lease expired and was renewed between two ticks, so the follower has not suspended the document.
    actions = node.follower.handle_statuses(NOW, (status,), SECOND)
    assert [type(action) for action in actions] == [
        SuspendDocument,
        FetchChunk,
    ] and node.document.state is FollowerState.CATCHING_UP
    assert "fetches version 2" in node.follower.document_states(NOW)[0][4]


def test_the_content_of_the_group_is_fetched_while_another_one_is_pinned() -> None:
    node = FollowerHarness(PLAIN)
    node.receive(1)
    node.follower.pin(NOW, "d", "[9]")
    assert node.follower.group_content("d") == "[1]"
    assert node.receive(3) == [] and node.document.state is FollowerState.PINNED
    assert node.follower.group_content("d") == "[3]" and node.document.content == "[9]"


def test_each_state_has_its_wire_word_in_heartbeats_and_status_pages() -> None:
    assert {state: state.wire_word for state in FollowerState} == {
        FollowerState.UNKNOWN: "unknown",
        FollowerState.ACTIVE: "acting",
        FollowerState.SUSPENDED: "suspended",
        FollowerState.LEASE_EXPIRED: "cut_off",
        FollowerState.CATCHING_UP: "behind",
        FollowerState.EXCLUDED: "held_out",
        FollowerState.PINNED: "fixed",
    }


def test_a_node_reports_a_group_that_went_back_to_an_older_version_or_lost_the_document() -> None:
    # Guards against a recovered group whose nodes act on an older version and say nothing.
    node = FollowerHarness(PLAIN)
    node.receive(2)
    assert node.receive(1)[:1] == ["ReportOlderVersion"]
    assert "ReportOlderVersion" not in node.receive(1)
    status = node.follower.handle_statuses(NOW, (), SECOND)
    assert [type(action).__name__ for action in status] == ["ReportOlderVersion", "ProposeFirstVersion"]


def test_a_withdrawn_canary_rollout_is_no_older_version() -> None:
    node = FollowerHarness(PLAIN)
    node.receive(1)
    node.receive(1, 2, rollout_nodes=(node.follower.node,))
    assert "ReportOlderVersion" not in node.receive(1)
