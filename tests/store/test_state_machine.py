"""`StateMachine`: revisions, times to live, sessions, transactions, and equal state after a snapshot."""

from __future__ import annotations

import itertools
import math

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wheatstile.store.commands import MAX_TTL_MS, Command, Operation, OperationKind, Precondition
from wheatstile.store.event_history import ChangeKind, Event
from wheatstile.store.state_machine import StateMachine

PUT = OperationKind.PUT
DELETE = OperationKind.DELETE
PURGE = OperationKind.PURGE

EXAMPLES = 300
HOUR_MS = 3_600_000
"""Time after which a deleted key is discarded, and an unused session."""
KEYS = ["k/a", "k/b"]
OPERATIONS = st.builds(
    Operation,
    st.sampled_from([PUT, PUT, PUT, DELETE, PURGE]),
    st.sampled_from(KEYS),
    st.binary(max_size=3),
    st.sampled_from([-1, -1, -1, 0, 1, 2, 3]),
    st.sampled_from([0, 0, 50, HOUR_MS, HOUR_MS + 50]),
)
COMMANDS = st.lists(
    st.builds(
        Command,
        st.lists(OPERATIONS, max_size=2, unique_by=lambda operation: operation.key),
        st.just([]),
        st.sampled_from(["", "", "s", "t"]),
        st.integers(1, 4),
        st.sampled_from([-10, 0, 1, 49, 50, 50, HOUR_MS - 50, HOUR_MS]),
    ),
    min_size=20,
    max_size=60,
)
"""Random commands. Their `clock_ms` is the time since the command before."""


def add_times(commands: list[Command]) -> list[Command]:
    """Return the commands with times that count from the first command."""
    times_ms = itertools.accumulate(command.clock_ms for command in commands)
    return [
        msgspec.structs.replace(command, clock_ms=max(0, time_ms))
        for command, time_ms in zip(commands, times_ms, strict=True)
    ]


@pytest.fixture
def machine() -> StateMachine:
    """Return an empty state machine."""
    return StateMachine()


def replay_events(events: list[Event]) -> dict[str, bytes]:
    """Return the keys and values that result from applying the events."""
    state: dict[str, bytes] = {}
    for event in events:
        if event.change is ChangeKind.PUT:
            state[event.key] = event.value
        else:
            state.pop(event.key, None)
    return state


@settings(deadline=None, max_examples=EXAMPLES)
@given(COMMANDS, st.sets(st.integers(1, 60), max_size=6))
def test_a_state_machine_loaded_from_a_snapshot_answers_as_the_running_one_ever_after(
    commands: list[Command], snapshot_indices: set[int]
) -> None:
    """Guards against members that disagree after one of them was started from a snapshot."""
    machine = StateMachine()
    restarted = StateMachine()
    events: list[Event] = []
    for index, command in enumerate(add_times(commands), 1):
        if index in snapshot_indices:
            restarted = StateMachine.load(restarted.dump())
        assert machine.apply(index, command) == restarted.apply(index, command)
        assert machine.dump() == restarted.dump()
        assert machine.next_expiration_ms() == restarted.next_expiration_ms()
        events += machine.events.after(events[-1].revision if events else 0)
    assert replay_events(events) == {key: version.value for key, version in machine.matching_keys(">")}


@settings(deadline=None, max_examples=EXAMPLES)
@given(COMMANDS)
def test_a_key_ends_when_its_last_write_says_and_not_before(commands: list[Command]) -> None:
    """Guards against a key that ends by the expiration of an earlier value."""
    machine = StateMachine()
    ends_at_ms: dict[str, float] = {}
    for index, command in enumerate(add_times(commands), 1):
        result = machine.apply(index, command)
        if result.ok and not result.repeated:
            for operation in command.operations:
                ttl_ms = operation.ttl_ms or math.inf
                ends_at_ms[operation.key] = machine.clock_ms + ttl_ms if operation.kind is PUT else 0
        expected = [key for key in KEYS if ends_at_ms.get(key, 0) > machine.clock_ms]
        assert [key for key, _ in machine.matching_keys(">")] == expected


@pytest.mark.parametrize("ttl_ms", [0, 2 * HOUR_MS])
def test_a_key_that_is_written_in_the_entry_that_expires_it_does_not_end_an_hour_later(
    machine: StateMachine, ttl_ms: int
) -> None:
    """Guards against the expiration of a deleted key that has the revision of a later write (review/7)."""
    machine.apply(1, Command([Operation(PUT, "k", b"1", ttl_ms=100)], clock_ms=1000))
    machine.apply(2, Command([Operation(PUT, "k", b"2", ttl_ms=ttl_ms)], clock_ms=1100))
    assert [version.change for version in machine.keys["k"]] == ["put", "expire", "put"]
    restarted = StateMachine.load(machine.dump())
    for each in (machine, restarted):
        each.apply(3, Command(clock_ms=1100 + HOUR_MS))
        assert each.get("k")
    assert machine.dump() == restarted.dump()


def test_a_repeated_command_is_applied_once_and_gives_the_same_result(machine: StateMachine) -> None:
    first = machine.apply(1, Command([Operation(PUT, "k", b"1", 0)], session_id="s", sequence=1))
    repeated = machine.apply(2, Command([Operation(PUT, "k", b"1", 0)], session_id="s", sequence=1))
    assert first.ok
    assert (repeated.ok, repeated.revision, repeated.repeated) == (True, 1, True)
    assert machine.apply(3, Command([Operation(PUT, "k", b"2")], session_id="s", sequence=2)).ok
    assert not machine.apply(4, Command([Operation(PUT, "k", b"1")], session_id="s", sequence=1)).ok
    assert not machine.apply(5, Command([Operation(PUT, "k", b"9")], session_id="unknown", sequence=7)).ok
    version = machine.get("k")
    assert version
    assert version.value == b"2"
    assert [version.value for version in machine.keys["k"]] == [b"1", b"2"]


def test_a_transaction_is_applied_completely_or_not_at_all(machine: StateMachine) -> None:
    machine.apply(1, Command([Operation(PUT, "a", b"1")]))
    rejected = machine.apply(2, Command([Operation(PUT, "b", b"1"), Operation(PUT, "a", b"2", 7)]))
    assert (rejected.ok, rejected.revision) == (False, 1)
    assert machine.get("b") is None
    failing = Command([Operation(PUT, "b", b"1")], preconditions=[Precondition("a", 0)])
    assert not machine.apply(3, failing).ok
    passing = Command(
        [Operation(PUT, "b", b"1"), Operation(DELETE, "a")], preconditions=[Precondition("a", 1)]
    )
    assert machine.apply(4, passing).ok
    assert machine.get("a") is None
    assert [event.revision for event in machine.events.after(1)] == [4, 4]


def test_a_key_expires_by_the_committed_clock_and_the_clock_never_goes_back(machine: StateMachine) -> None:
    machine.apply(1, Command([Operation(PUT, "k", b"1", ttl_ms=100)], clock_ms=1000))
    machine.apply(2, Command(clock_ms=1099))
    assert machine.get("k")
    assert machine.next_expiration_ms() == 1100
    machine.apply(3, Command(clock_ms=500))
    assert machine.clock_ms == 1099
    machine.apply(4, Command([Operation(PUT, "k", b"2", ttl_ms=100)], clock_ms=1099))  # renewed in time
    machine.apply(5, Command(clock_ms=1150))
    assert machine.get("k")
    machine.apply(6, Command(clock_ms=1199))
    assert machine.get("k") is None
    assert machine.events.after(5) == [Event(6, "k", ChangeKind.EXPIRE, b"")]


def test_a_very_long_time_to_live_fits_into_a_snapshot(machine: StateMachine) -> None:
    """Guards against a command in a log of an earlier version that makes each later snapshot fail."""
    machine.apply(1, Command([Operation(PUT, "k", b"1", ttl_ms=2**64 - 1)], clock_ms=1))
    assert StateMachine.load(machine.dump()).next_expiration_ms() == 1 + MAX_TTL_MS
