"""`StateMachine`: revisions, times to live, sessions, transactions, and equal state after a snapshot."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wheatstile.store.commands import MAX_TTL_MS, Command, Operation, OperationKind, Precondition
from wheatstile.store.event_history import ChangeKind, Event
from wheatstile.store.state_machine import StateMachine

PUT = OperationKind.PUT
DELETE = OperationKind.DELETE
PURGE = OperationKind.PURGE

OPERATIONS = st.builds(
    Operation,
    st.sampled_from([PUT, PUT, DELETE, PURGE]),
    st.sampled_from(["k/a", "k/b", "k/c"]),
    st.binary(max_size=3),
    st.sampled_from([-1, -1, 0, 1, 2, 3]),
    st.sampled_from([0, 0, 50]),
)
COMMANDS = st.lists(
    st.builds(
        Command,
        st.lists(OPERATIONS, max_size=2, unique_by=lambda operation: operation.key),
        st.just([]),
        st.sampled_from(["", "s", "t"]),
        st.integers(1, 4),
        st.integers(0, 300),
    ),
    max_size=40,
)


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


@settings(deadline=None)
@given(COMMANDS, st.integers(0, 40))
def test_a_state_machine_loaded_from_a_snapshot_gives_the_same_results(
    commands: list[Command], snapshot_index: int
) -> None:
    machine = restored = StateMachine()
    events: list[Event] = []
    for index, command in enumerate(commands, 1):
        if index == snapshot_index:
            restored = StateMachine.load(machine.dump())
        result = machine.apply(index, command)
        if restored is not machine:
            assert restored.apply(index, command) == result
        events += machine.events.after(events[-1].revision if events else 0)
    if restored is not machine:
        assert restored.dump() == machine.dump()
    assert replay_events(events) == {key: version.value for key, version in machine.matching_keys(">")}


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
