"""Runs a few rounds of `benchmarks/store_restarts.py`, with kills while a snapshot is stored."""

from __future__ import annotations

from store_restarts import run_rounds

ROUNDS = 3
SEED = 1


def test_no_acknowledged_write_is_lost_when_a_member_is_killed_while_it_stores_a_snapshot() -> None:
    """Guards against a member that forgets what it acknowledged after an interrupted snapshot (review/6)."""
    assert len(run_rounds(ROUNDS, SEED)) == ROUNDS
