"""The decision about a request by the reply to its claim."""

from __future__ import annotations

import pytest

from marlstep.admission.settings import Effect
from marlstep.core.interfaces import ClaimResult
from marlstep.core.key_record import KeyRecord
from marlstep.core.sibling_claims import ClaimDecision, decide_claim


def test_unknown_work_runs_if_its_claim_was_granted_and_fails_otherwise() -> None:
    # Guards against a rejection of work that may have run: a client may send rejected work to another node.
    for effect in (Effect.KEYED, Effect.AT_MOST_ONCE):
        assert decide_claim(ClaimResult.GRANTED, None, effect, "") is ClaimDecision.ENQUEUE
        assert decide_claim(ClaimResult.KNOWN, None, effect, "") is ClaimDecision.FAIL
        assert decide_claim(ClaimResult.UNSURE, None, effect, "") is ClaimDecision.FAIL


@pytest.mark.parametrize("result", list(ClaimResult))
def test_work_that_is_known_by_now_is_repeated_if_it_is_keyed_and_has_the_same_body(
    result: ClaimResult,
) -> None:
    prior = KeyRecord("r0", digest="a")
    assert decide_claim(result, prior, Effect.KEYED, "a") is ClaimDecision.ENQUEUE
    assert decide_claim(result, prior, Effect.KEYED, "b") is ClaimDecision.FAIL
    assert decide_claim(result, prior, Effect.AT_MOST_ONCE, "a") is ClaimDecision.FAIL
