"""The in-memory log, compared with a list of terms."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from marlstep.consensus.log import Configuration, EntryType, LogEntry, PersistentState, RaftLog, Snapshot


@given(
    st.lists(st.tuples(st.sampled_from(["append", "truncate", "compact"]), st.integers(0, 30)), max_size=40)
)
def test_a_log_behaves_as_a_plain_list(steps: list[tuple[str, int]]) -> None:
    group = Configuration(("a",))
    log, terms_by_index, base, term = (
        RaftLog(PersistentState(snapshot=Snapshot(configuration=group))),
        [0],
        0,
        1,
    )
    for action, number in steps:
        if action == "append":
            term += number % 3 == 0
            log.append(LogEntry(log.last_index + 1, term, EntryType.COMMAND, str(number)))
            terms_by_index.append(term)
        elif action == "truncate" and base < log.last_index:
            first = max(base + 1, log.last_index - number % 4)
            log.truncate_from(first)
            del terms_by_index[first:]
        elif action == "compact" and log.last_index > log.snapshot.index:
            index = log.snapshot.index + 1 + number % (log.last_index - log.snapshot.index)
            log.compact(Snapshot(index, log.term_at(index), group, ""), keep=number % 5)
            base = log.snapshot.index
        assert log.last_index == len(terms_by_index) - 1
        assert [log.term_at(index) for index in range(log.first_index, log.last_index + 1)] == terms_by_index[
            log.first_index :
        ]
        assert log.first_index <= log.snapshot.index + 1
