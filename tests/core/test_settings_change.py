"""Changes of settings while requests are in flight."""

from __future__ import annotations

import copy
from collections.abc import Callable
from typing import Any

import pytest

from marlstep.admission.events import Outcome
from marlstep.admission.settings import Settings
from marlstep.core.errors import RepeatedWorkError, RequestRejectedError
from marlstep.core.interfaces import ResponseStatus
from marlstep.core.served_settings import RETIRED_CLASS_GRACE
from marlstep.simulator.configuration import read_settings
from marlstep.units import MILLISECOND
from tests.core.test_repeats import KEYED
from tests.support.alternate_settings import RespDriver, alternate_settings
from tests.support.node import SETTINGS, CoreDriver


def changed_config(change: Callable[[dict[str, Any]], Any]) -> dict[str, Any]:
    config = copy.deepcopy(SETTINGS)
    change(config)
    return config


def replace_setpoint_class(config: dict[str, Any]) -> None:
    """Replace the class setpoint-cmd by boiler-cmd, which has about half the deadline."""
    config["classes"][2].update(name="boiler-cmd", aimUs=400_000, hardLimitUs=2_000_000.0, worth=5.0)


def changed_settings(change: Callable[[dict[str, Any]], Any]) -> Settings:
    return read_settings({**changed_config(change), "familyInfo": {**SETTINGS["familyInfo"], "cpus": 2}})


def test_requests_in_flight_keep_their_class_and_the_new_class_runs() -> None:
    driver = CoreDriver(cores=2)
    for number in (1, 2, 3):  # the third stays queued, as both cores are busy
        driver.submit(number, "temp-history")
    driver.submit(4, "setpoint-cmd")  # preempts the second
    driver.end(2, Outcome.CANCELLED)
    assert [request_id for command, request_id in driver.backend.commands if command == "start"] == [
        "r1",
        "r2",
        "r4",
    ]
    driver.core.apply_settings(changed_settings(replace_setpoint_class))
    driver.clock.settle()
    assert driver.core._controller.state.statistics.mean_run_us.keys() == {
        "temp-history",
        "schedule-save",
        "setpoint-cmd",
        "boiler-cmd",
    }
    driver.submit(5, "boiler-cmd")  # has the highest priority weight now
    driver.submit(6, "setpoint-cmd")  # removed, but still accepted for a grace period
    for number in (4, 1, 5, 6, 2, 3):
        driver.end(number)
    assert all(driver.statuses(number) == [ResponseStatus.DONE] for number in range(1, 7))
    assert driver.core.in_flight == 0 and driver.core._controller.state.entries.count_in_flight() == 0


def test_a_removed_class_is_accepted_for_a_grace_then_rejected_and_accepted_when_it_returns() -> None:
    driver = CoreDriver()
    driver.core.apply_settings(changed_settings(replace_setpoint_class))
    # Applying the same settings again must not end the grace period.
    driver.core.apply_settings(changed_settings(replace_setpoint_class))
    driver.submit(1, "setpoint-cmd")
    driver.clock.advance(RETIRED_CLASS_GRACE / MILLISECOND + 1)
    with pytest.raises(RequestRejectedError, match="unknown class"):
        driver.submit(2, "setpoint-cmd")
    driver.core.apply_settings(read_settings(SETTINGS))
    driver.submit(3, "setpoint-cmd")
    driver.submit(4, "boiler-cmd")


def test_a_deadline_is_that_of_the_settings_in_force_when_the_request_was_submitted() -> None:
    driver = CoreDriver(cores=1)
    for number, request_class in ((1, "setpoint-cmd"), (2, "boiler-cmd")):
        driver.submit(number, request_class)
        driver.core.apply_settings(changed_settings(replace_setpoint_class))
        driver.clock.settle()
    remaining_times = [request.deadline_at - driver.clock.now() for request in driver.core._requests]
    assert remaining_times == [4_300 * MILLISECOND, 2_000 * MILLISECOND]
    entries = driver.core._controller.state.entries.by_id.values()
    assert [entry.deadline_at - entry.arrived_at for entry in entries] == [4_300_000, 2_000_000]


def test_measurements_stay_and_bounds_follow_the_settings() -> None:
    driver = CoreDriver(cores=2)
    controller = driver.core._controller
    driver.submit(1)
    driver.clock.advance(300)
    driver.end(1)
    controller.concurrency.limit = 9.0
    measured = (
        controller.state.statistics.mean_run_us["temp-history"],
        controller.state.statistics.least_run_us,
        controller.state.callers.last_seen,
    )
    assert measured[0] > 0
    driver.core.apply_settings(changed_settings(lambda config: config["classes"][0].update(worth=2.0)))
    driver.clock.settle()
    assert (
        controller.state.statistics.mean_run_us["temp-history"],
        controller.state.statistics.least_run_us,
        controller.state.callers.last_seen,
    ) == measured
    assert controller.concurrency.limit == 9.0
    driver.core.apply_settings(changed_settings(lambda config: config["rules"].update(fallMultiple=2.0)))
    driver.clock.settle()
    assert controller.concurrency.limit == 4.0  # the bound under the new settings


def test_a_quota_set_by_the_api_stays_until_the_file_changes_it() -> None:
    realm_rows = [{"name": "riad", "portion": 0.5, "allowancePerS": 2.0}]
    driver = CoreDriver(realms=realm_rows)
    driver.core.set_quota("riad", 7.0)
    for per_s, expected_quota in ((2.0, 7.0), (3.0, 3.0)):
        changed_realms = [
            {**realm_rows[0], "allowancePerS": per_s},
            {"name": "souk", "portion": 0.1, "allowancePerS": 1.0},
        ]
        driver.core.apply_settings(read_settings({**SETTINGS, "realms": changed_realms}))
        driver.clock.settle()
        assert driver.core._controller.state.quotas_per_s == {"riad": expected_quota, "souk": 1.0}
    driver.core.apply_settings(read_settings(SETTINGS))
    assert not driver.core.tenants and not driver.core.tenant_counts


def test_booked_memory_is_counted_and_released_by_the_settings_in_force() -> None:
    # Guards against a memory account that stays full forever, because memory was booked with the factor of one version
    # of the settings and released with that of another.
    driver = RespDriver(cpus=1, keyKb=5.0)
    connection = driver.connect()
    for tag, request_class in ((1, "list"), (2, "book"), (3, "list"), (4, "book")):
        driver.send_request(connection, tag, request_class, once=f"k{tag}")
    controller = driver.core._controller
    for factor, key_kb in ((3.0, 50.0), (12.0, 1.0)):
        driver.core.apply_settings(
            read_settings(alternate_settings(cpus=1, keyKb=key_kb, runMemFactor=factor))
        )
        driver.clock.settle()
        running = (
            driver.start_count(1) + driver.start_count(2) + driver.start_count(3) + driver.start_count(4)
        )
        assert controller.state.entries.memory_kb == factor * running + (4 - running) + 2 * key_kb
    for _ in range(4):
        for tag in (1, 2, 3, 4):
            driver.end_run(tag)
    assert controller.state.entries.memory_kb == 2.0  # the two idempotency keys
    driver.clock.advance(6_000)
    assert controller.state.entries.memory_kb == 0


def test_a_longer_window_covers_kept_keys_and_a_shorter_one_does_not_shorten_theirs() -> None:
    config = alternate_settings()
    for window_us, wait_ms, runs in ((5_000_000, 4_000, 0), (500_000, 1_000, 0), (2_000_000, 2_500, 1)):
        driver = RespDriver()
        connection = driver.connect()
        driver.send_request(connection, 1, "book", once="k")
        driver.end_run(1)
        config["classes"][2]["repeatWindowUs"] = window_us
        driver.core.apply_settings(read_settings(config))
        driver.clock.advance(wait_ms)
        driver.send_request(driver.connect(), 1, "book", id=2, once="k")
        assert driver.start_count(2) == runs


def keyed_settings(window_us: int | None, effect: str = "deduplicated") -> Settings:
    """Return settings in which the class `keyed` has this window and effect; without it if the window is None."""
    rows = [dict(row) for row in KEYED["classes"]]
    rows[2].update(repeatWindowUs=window_us, semantics=effect)
    family_info = {**SETTINGS["familyInfo"], "cpus": 2}
    if window_us is None:
        rows.pop()
        family_info = {
            key: value[:2] if isinstance(value, list) and key != "ownStats" else value
            for key, value in family_info.items()
        }
    return read_settings({**SETTINGS, "familyInfo": family_info, "classes": rows})


WINDOW, SHORT, LONG = 5_000_000, 1_000_000, 30_000_000  # microseconds; the first is that of `KEYED`


@pytest.mark.parametrize(
    ("changes", "late_ms", "runs"),
    [
        ([None, LONG], 9_000, 1),  # the class is away, and comes back with a longer window
        ([None, None, LONG], 9_000, 1),
        ([None, SHORT], 4_000, 1),  # the promise that was made holds
        ([None, SHORT], 6_000, 2),
        ([None, SHORT, LONG], 9_000, 1),  # several changes in a row
        ([LONG, SHORT], 9_000, 1),  # clients could rely on the long one for a time
        ([SHORT, None, LONG, None, SHORT], 9_000, 1),
        ([None, WINDOW], 6_000, 2),
    ],
)
def test_the_longest_window_since_the_run_covers_a_repeat(
    changes: list[int | None], late_ms: int, runs: int
) -> None:
    # Guards against a second run of work whose class was away in the settings before those of the longer window.
    driver = CoreDriver(**KEYED)
    driver.submit(1, "keyed", idempotency_key="k")
    driver.end(1)
    for window_us in changes:
        driver.clock.advance(500)
        driver.core.apply_settings(keyed_settings(window_us))
        driver.clock.settle()
    driver.clock.advance(late_ms - 500 * len(changes))
    driver.submit(2, "keyed", idempotency_key="k")
    assert [command for command, _ in driver.backend.commands].count("start") == runs
    if runs == 1:
        assert driver.statuses(2) == [ResponseStatus.DONE]


def test_a_window_lasts_while_the_class_has_another_effect_in_between() -> None:
    driver = CoreDriver(**KEYED)
    driver.submit(1, "keyed", idempotency_key="k")
    driver.end(1)
    driver.core.apply_settings(keyed_settings(LONG, "at_most_once"))
    with pytest.raises(RepeatedWorkError):
        driver.submit(2, "keyed", idempotency_key="k")
    driver.core.apply_settings(keyed_settings(SHORT, "idempotent"))
    driver.core.apply_settings(keyed_settings(SHORT))
    driver.clock.advance(9_000)
    driver.submit(3, "keyed", idempotency_key="k")
    assert driver.statuses(3) == [ResponseStatus.DONE]
    assert [command for command, _ in driver.backend.commands].count("start") == 1


def test_a_request_of_a_removed_class_within_its_grace_is_covered_when_the_class_returns() -> None:
    driver = CoreDriver(**KEYED)
    driver.core.apply_settings(keyed_settings(None))
    driver.clock.advance(1_000)
    driver.submit(1, "keyed", idempotency_key="k")
    driver.end(1)
    driver.core.apply_settings(keyed_settings(LONG))
    driver.clock.advance(9_000)
    driver.submit(2, "keyed", idempotency_key="k")
    assert driver.statuses(2) == [ResponseStatus.DONE]
