"""Tests of the duration of an outlier ejection."""

import pytest

from wheatstile.decisions.outlier_ejection import OutlierEjection

SECOND_US = 1_000_000
NOW_US = 100 * SECOND_US


def test_server_without_failures_is_not_ejected() -> None:
    assert not OutlierEjection().is_active(NOW_US)


def test_ejection_lasts_until_its_end() -> None:
    ejection = OutlierEjection()
    ejection.record_failure(NOW_US)
    assert ejection.until_us == NOW_US + SECOND_US
    assert ejection.is_active(NOW_US + SECOND_US - 1)
    assert not ejection.is_active(NOW_US + SECOND_US)


@pytest.mark.parametrize(
    ("failures", "duration_s"), [(1, 1), (2, 2), (3, 4), (4, 8), (5, 8), (6, 8), (1000, 8)]
)
def test_duration_doubles_with_each_consecutive_failure_up_to_its_limit(
    failures: int, duration_s: int
) -> None:
    ejection = OutlierEjection()
    for _ in range(failures):
        ejection.record_failure(NOW_US)
    assert ejection.until_us == NOW_US + duration_s * SECOND_US


def test_success_resets_the_duration_but_does_not_end_the_ejection() -> None:
    ejection = OutlierEjection()
    for _ in range(3):
        ejection.record_failure(NOW_US)
    ejection.record_success()
    assert ejection.until_us == NOW_US + 4 * SECOND_US
    ejection.record_failure(NOW_US + 10 * SECOND_US)
    assert ejection.until_us == NOW_US + 11 * SECOND_US
