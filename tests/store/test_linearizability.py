"""`is_linearizable` and `check_member_output`: both accept correct histories and reject incorrect ones."""

from __future__ import annotations

from functools import partial
from math import inf

import pytest
from linearizability import Kind, Operation, is_linearizable
from process_cluster import OutputByMember, check_member_output

put = partial(Operation, Kind.PUT)
get = partial(Operation, Kind.GET)
swap = partial(Operation, Kind.SWAP)


@pytest.mark.parametrize(
    "history",
    [
        pytest.param([put("1", 0, 1), get("1", 2, 3)], id="write_then_read"),
        pytest.param([put("1", 0, inf), get(None, 1, 2), get("1", 3, 4)], id="unanswered_write_applied_late"),
        pytest.param([put("1", 0, 5), put("2", 0, 5), get("1", 6, 7)], id="concurrent_writes"),
        pytest.param([swap("1", 1, 2, None), swap("2", 1, 2, None, succeeded=False)], id="one_swap_fails"),
    ],
)
def test_a_linearizable_history_is_accepted(history: list[Operation]) -> None:
    assert is_linearizable(history)


@pytest.mark.parametrize(
    "history",
    [
        pytest.param([put("1", 0, 1), put("2", 2, 3), get("1", 4, 5)], id="stale_read"),
        pytest.param([put("1", 0, inf), get("1", 1, 2), get(None, 3, 4)], id="value_goes_back"),
        pytest.param([put("1", 0, 1), get("2", 2, 3)], id="value_never_written"),
        pytest.param([swap("1", 1, 2, None), swap("2", 1, 2, None)], id="two_swaps_from_one_state"),
    ],
)
def test_a_history_that_is_not_linearizable_is_rejected(history: list[Operation]) -> None:
    assert not is_linearizable(history)


@pytest.mark.parametrize(
    ("output", "message"),
    [
        ({"a": ["leader 3"], "b": ["leader 3"]}, "led by"),
        ({"a": ["applied 1 1 x 1"], "b": ["applied 1 1 y 1"]}, "not"),
    ],
)
def test_contradictory_output_of_members_is_rejected(output: OutputByMember, message: str) -> None:
    with pytest.raises(AssertionError, match=message):
        check_member_output(output)
