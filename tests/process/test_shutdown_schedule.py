"""The schedule of a graceful shutdown ends before the platform sends SIGKILL."""

import pytest

from wheatstile.process.graceful_shutdown import (
    KILL_MARGIN_S,
    MAX_COUNTED_DEADLINE_S,
    MIGRATION_MARGIN_S,
    MIN_SERVE_S,
    ShutdownSchedule,
)


@pytest.mark.parametrize(
    ("longest_deadline_s", "serve_s", "migrate_s"),
    [(1.0, 0.5, 0.5), (2.0, 0.7, 1.3), (3.0, 1.7, 1.3), (9.0, 1.7, 1.3)],
)
def test_migrations_end_a_margin_before_the_earliest_sigkill(
    longest_deadline_s: float, serve_s: float, migrate_s: float
) -> None:
    schedule = ShutdownSchedule.for_deadline(longest_deadline_s)

    assert schedule.serve_s == pytest.approx(serve_s)
    assert schedule.migrate_s == pytest.approx(migrate_s)
    earliest_kill_s = min(longest_deadline_s, MAX_COUNTED_DEADLINE_S) + KILL_MARGIN_S
    assert schedule.serve_s >= MIN_SERVE_S
    assert schedule.serve_s + schedule.migrate_s == pytest.approx(earliest_kill_s - MIGRATION_MARGIN_S)
