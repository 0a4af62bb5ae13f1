"""Keys with a scope and a digest between two processes, and beside a version that reports neither over uwsgi."""

from __future__ import annotations

from dataclasses import replace

import pytest

from marlstep.core.errors import RepeatedWorkError
from marlstep.core.interfaces import ResponseStatus
from marlstep.core.work_identity import WorkLabel, body_digest, scope_of_tenant
from marlstep.hot_restart.messages import ClaimRequest, KeyReleased, KeyStatus, Message
from tests.support.restart_pair import MessagePipe, ProcessPair, SimulatedProcess, serving_pair

GALERIE, MUSEE = scope_of_tenant("galerie"), scope_of_tenant("musee")
MINE, THEIRS = body_digest(b"mine"), body_digest(b"theirs")


class PipeOfVersionBefore(MessagePipe):
    """Carries the messages of a process that reports neither scopes nor digests of uwsgi requests."""

    def send_message(self, message: Message) -> None:
        if isinstance(message, KeyStatus | KeyReleased | ClaimRequest):
            label = WorkLabel.decode(message.request_label)
            message = replace(message, request_label=label.request_id)
        super().send_message(message)


def submit(pair: ProcessPair, process: SimulatedProcess, scope: str = GALERIE, digest: str = MINE) -> int:
    return pair.submit(process, "schedule-save", "1", key_scope=scope, digest=digest)


def run_count(*processes: SimulatedProcess) -> int:
    commands = [each for process in processes for each in process.driver.backend.commands]
    return [command for command, _ in commands].count("start")


def test_a_label_carries_id_digest_and_scope() -> None:
    for label in (WorkLabel("r1"), WorkLabel("r1", MINE), WorkLabel("r1", MINE, GALERIE)):
        assert WorkLabel.decode(label.encode()) == label
    odd_id = f"a~{MINE}~{GALERIE}"  # an id chosen to look like a label
    assert WorkLabel.decode(WorkLabel(odd_id, THEIRS).encode()) == WorkLabel(odd_id, THEIRS)
    assert WorkLabel.decode(f"~{GALERIE}") == WorkLabel(f"~{GALERIE}")


def test_a_retry_at_the_other_process_shares_the_result_of_its_tenants_work() -> None:
    # Guards against a result that reaches another tenant, or other work, through the other process.
    pair = serving_pair()
    first = submit(pair, pair.predecessor)
    pair.exchange()
    other_tenant = submit(pair, pair.successor, scope=MUSEE)
    pair.exchange()
    assert run_count(pair.successor) == 1
    pair.predecessor.driver.end(first, result=b"of galerie")
    pair.successor.driver.end(other_tenant, result=b"of musee")
    pair.exchange()
    retry = submit(pair, pair.successor)
    pair.exchange()
    bodies = [pair.successor.driver.responses[number][0].body for number in (other_tenant, retry)]
    assert bodies == [b"of musee", b"of galerie"]
    with pytest.raises(RepeatedWorkError):
        submit(pair, pair.successor, digest=THEIRS)
    assert run_count(pair.predecessor, pair.successor) == 2


def test_other_work_whose_claim_crosses_the_report_of_known_work_fails() -> None:
    # Guards against the result of other work for a request whose claim is decided by the predecessor's report.
    pair = serving_pair()
    submit(pair, pair.predecessor)
    intruder = submit(pair, pair.successor, digest=THEIRS)
    pair.exchange()
    assert pair.successor.driver.statuses(intruder) == [ResponseStatus.FAILED]
    assert run_count(pair.predecessor, pair.successor) == 1


@pytest.mark.parametrize("scope", ["", GALERIE])
@pytest.mark.parametrize("reported", [False, True])
def test_work_of_an_older_predecessor_is_neither_run_again_nor_shared(scope: str, reported: bool) -> None:
    # Guards against a second run beside a version that reports only the name, and against a result of unknown work.
    pair = serving_pair()
    pair.to_successor = PipeOfVersionBefore()
    pair.predecessor.hot_restart._toward_successor._successor = pair.to_successor
    submit(pair, pair.predecessor, scope="", digest="")
    if reported:
        pair.exchange()
        with pytest.raises(RepeatedWorkError):
            submit(pair, pair.successor, scope=scope)
    else:
        retry = submit(pair, pair.successor, scope=scope)
        pair.exchange()
        assert pair.successor.driver.statuses(retry) == [ResponseStatus.FAILED]
    assert run_count(pair.predecessor, pair.successor) == 1


@pytest.mark.parametrize("scope", ["", GALERIE])
def test_an_older_successor_is_not_granted_a_name_that_any_tenant_uses(scope: str) -> None:
    # Guards against a second run by a version that claims only the name.
    pair = serving_pair()
    submit(pair, pair.predecessor, scope=scope)
    pair.exchange()
    pair.successor.driver.core.idempotency_keys._records.clear()  # it looks up other keys than this version
    pair.to_predecessor = PipeOfVersionBefore()
    pair.successor.hot_restart._toward_predecessor._predecessor = pair.to_predecessor
    submit(pair, pair.successor, scope="", digest="")
    pair.exchange()
    assert run_count(pair.predecessor, pair.successor) == 1


def test_a_name_granted_to_an_older_successor_is_not_run_for_any_tenant() -> None:
    # Guards against a second run at the predecessor of work that the older successor may run.
    pair = serving_pair()
    pair.to_predecessor = PipeOfVersionBefore()
    pair.successor.hot_restart._toward_predecessor._predecessor = pair.to_predecessor
    submit(pair, pair.successor, scope="", digest="")
    pair.exchange()
    with pytest.raises(RepeatedWorkError):
        submit(pair, pair.predecessor)
    assert run_count(pair.predecessor, pair.successor) == 1
