"""What one node does with the versions that the group names."""

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
from tests.replicated_config.support import NOW, PLAIN, STRICT, Node


def test_a_version_is_acted_on_once_it_is_in_force_and_an_old_one_until_then() -> None:
    node = Node(PLAIN)
    assert node.told(1) == ["ActivateVersion"] and node.one.version == 1
    assert node.told(1, 2) == ["AcknowledgeVersion"] and node.one.state is FollowerState.ACTIVE
    assert node.told(1, 2) == []  # said once
    assert node.told(2) == ["ActivateVersion"] and node.one.content == "[2]"


def test_a_strict_document_stops_before_it_is_said_and_goes_on_where_it_is_turned_down() -> None:
    node = Node(STRICT)
    node.told(1)
    assert (
        node.told(1, 2) == ["SuspendDocument", "AcknowledgeVersion"]
        and node.one.state is FollowerState.SUSPENDED
    )
    assert node.told(1, 2) == [] and node.one.state is FollowerState.SUSPENDED
    node.follower.tick(NOW, ZERO)
    assert (
        node.told(1, 2) == [] and node.one.state is FollowerState.SUSPENDED
    )  # also after its lease lapsed meanwhile
    assert node.told(1) == ["ActivateVersion"] and node.one.version == 1
    node.told(1, 3)
    assert node.told(3) == ["ActivateVersion"] and node.one.version == 3


def test_without_a_lease_nothing_is_acted_on_and_a_restart_asks_first() -> None:
    node = Node(PLAIN)
    [stop] = node.follower.start()
    assert isinstance(stop, SuspendDocument)
    assert node.told(1, left=ZERO) == [] and node.one.state is FollowerState.UNKNOWN
    node.told(1)
    [stop] = node.follower.tick(NOW, ZERO)
    assert isinstance(stop, SuspendDocument) and not node.follower.tick(NOW, ZERO)
    assert node.told(2) == ["ActivateVersion"]


def test_a_node_that_cant_take_a_version_says_why_and_stops_when_it_is_in_force() -> None:
    node = Node(STRICT, why="an older program")
    node.told(1)
    assert node.told(1, 2) == ["SuspendDocument", "AcknowledgeVersion"]
    assert isinstance(node.done[1], AcknowledgeVersion) and node.done[1].rejection == "an older program"
    assert node.told(2) == ["SuspendDocument"] and node.one.state is FollowerState.EXCLUDED
    assert node.told(2, 3) == ["AcknowledgeVersion"] and node.one.state is FollowerState.EXCLUDED


def test_a_document_that_the_group_lacks_is_proposed_from_the_files() -> None:
    node = Node(PLAIN)
    assert [type(do) for do in node.follower.handle_statuses(NOW, (), SECOND)] == [ProposeFirstVersion]
    assert node.follower.handle_statuses(NOW, (), SECOND) == []
    assert [type(do) for do in node.follower.handle_statuses(NOW + 4 * SECOND, (), SECOND)] == [
        ProposeFirstVersion
    ]


def test_a_fixed_version_follows_nobody_until_it_is_taken_back() -> None:
    node = Node(PLAIN)
    node.told(1)
    assert node.follower.pin(NOW, "d", "[9]") == [ActivateVersion("d", -1, "[9]")]
    assert node.told(2) == [] and node.follower.tick(NOW, ZERO) == []
    assert isinstance(node.follower.unpin("d")[0], SuspendDocument)
    assert node.told(2) == ["ActivateVersion"]


@given(st.lists(st.tuples(st.integers(1, 3), st.integers(0, 3), st.booleans()), max_size=30), st.booleans())
def test_whatever_is_told_a_strict_document_is_not_acted_on_after_its_word(
    steps: list[tuple[int, int, bool]], strict: bool
) -> None:
    node = Node(STRICT if strict else PLAIN)
    version = 1
    for told, pending, left in steps:
        version = max(version, told)  # the group's word only goes forward
        node.told(version, pending if pending > version else 0, SECOND if left else ZERO)
        if not left:
            node.follower.tick(NOW, ZERO)
            assert node.one.state is not FollowerState.ACTIVE
        elif strict and pending > version:
            assert node.one.state is FollowerState.SUSPENDED and node.one.acknowledged_version == pending
        else:
            assert node.one.state is FollowerState.ACTIVE and node.one.version == version


def test_a_node_of_a_stage_acts_first_and_goes_back_with_it() -> None:
    node, other = Node(PLAIN), Node(PLAIN)
    node.follower.node = "b"
    for one in (node, other):
        one.told(1)
        one.told(1, 2)
        one.told(1, 2, on=("b",))
    assert node.one.version == 2 and other.one.version == 1
    assert node.follower.document_states(NOW)[0][4] == "a stage: it is among the first"
    assert node.told(1) == ["ActivateVersion"] and node.one.version == 1  # what is in force was kept


def test_one_whose_lease_came_again_does_not_go_on_with_an_old_version() -> None:
    node = Node(STRICT)
    node.told(1)
    news = DocumentStatus("d", 2, content_digest("[2]"), strict=True)
    done = node.follower.handle_statuses(
        NOW, (news,), SECOND
    )  # without a look between: its lease was over, and is there again
    assert [type(do) for do in done] == [
        SuspendDocument,
        FetchChunk,
    ] and node.one.state is FollowerState.CATCHING_UP
    assert "fetches version 2" in node.follower.document_states(NOW)[0][4]


def test_what_a_fixed_version_differs_in_is_known_before_it_is_taken_back() -> None:
    node = Node(PLAIN)
    node.told(1)
    node.follower.pin(NOW, "d", "[9]")
    assert node.follower.group_content("d") == "[1]"
    assert node.told(3) == [] and node.one.state is FollowerState.PINNED
    assert node.follower.group_content("d") == "[3]" and node.one.content == "[9]"
