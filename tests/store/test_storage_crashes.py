"""Runs a few seeds of `benchmarks/storage_crashes`, and checks that they find planted faults.

`WHEATSTILE_SEEDS=N-N pytest tests/store/test_storage_crashes.py` repeats the history of seed N.
"""

from __future__ import annotations

import os

import pytest
from storage_crashes.history import run_seed
from storage_crashes.planted_faults import PLANTED_FAULTS, planted

FIRST, _, LAST = os.environ.get("WHEATSTILE_SEEDS", "1-400").partition("-")
SEEDS = range(int(FIRST), int(LAST or FIRST) + 1)
MAX_SEEDS_PER_FAULT = 400


def test_whatever_was_acknowledged_is_there_after_a_failure_at_any_step() -> None:
    """Guards against the loss of acknowledged entries, terms and votes after crashes and disk errors."""
    assert [violation for seed in SEEDS if (violation := run_seed(seed))] == []


@pytest.mark.parametrize("fault", PLANTED_FAULTS)
def test_a_planted_fault_is_found(fault: str) -> None:
    with planted(fault):
        assert any(run_seed(seed) for seed in range(1, MAX_SEEDS_PER_FAULT + 1))
