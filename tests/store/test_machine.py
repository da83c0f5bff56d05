"""The state machine: revisions, times to live, sessions, transactions, events; one state on all members."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wheatstile.store.machine import MAX_EVENTS, Behind, Command, Event, Machine, Op, fault, matches

KEYS = st.sampled_from(["k/a", "k/b", "k/c"])
OPS = st.builds(
    Op,
    st.sampled_from(["put", "put", "delete", "purge"]),
    KEYS,
    st.binary(max_size=3),
    st.sampled_from([-1, -1, 0, 1, 2, 3]),
    st.sampled_from([0, 0, 50]),
)
COMMANDS = st.lists(
    st.builds(
        Command,
        st.lists(OPS, max_size=2, unique_by=lambda op: op.key),
        st.just([]),
        st.sampled_from(["", "s", "t"]),
        st.integers(1, 4),
        st.integers(0, 300),
    ),
    max_size=40,
)


@settings(deadline=None)
@given(COMMANDS, st.integers(0, 40))
def test_a_member_that_came_by_a_snapshot_answers_as_the_others(commands: list[Command], cut: int) -> None:
    machine = restored = Machine()
    told: list[Event] = []
    for index, command in enumerate(commands, 1):
        if index == cut:
            restored = Machine.load(machine.dump())
        result = machine.apply(index, command)
        if restored is not machine:
            assert restored.apply(index, command) == result
        told += machine.events_after(told[-1].revision if told else 0)
    if restored is not machine:
        assert restored.dump() == machine.dump()
    state: dict[str, bytes] = {}
    for event in told:  # a watch alone gives the same keys as a read
        if event.op == "put":
            state[event.key] = event.value
        else:
            state.pop(event.key, None)
    assert state == {key: version.value for key, version in machine.matching(">")}


def test_a_repeated_command_is_applied_once_and_answered_alike() -> None:
    machine = Machine()
    first = machine.apply(1, Command([Op("put", "k", b"1", 0)], session="s", seq=1))
    again = machine.apply(2, Command([Op("put", "k", b"1", 0)], session="s", seq=1))
    assert (first.ok, again.ok, again.revision, again.repeated) == (True, True, 1, True)
    assert machine.apply(3, Command([Op("put", "k", b"2")], session="s", seq=2)).ok
    assert not machine.apply(4, Command([Op("put", "k", b"1")], session="s", seq=1)).ok
    assert not machine.apply(5, Command([Op("put", "k", b"9")], session="unknown", seq=7)).ok
    version = machine.get("k")
    assert version and version.value == b"2" and [v.value for v in machine.keys["k"]] == [b"1", b"2"]


def test_a_transaction_is_whole_or_nothing() -> None:
    machine = Machine()
    machine.apply(1, Command([Op("put", "a", b"1")]))
    refused = machine.apply(2, Command([Op("put", "b", b"1"), Op("put", "a", b"2", 7)]))
    assert (refused.ok, refused.revision) == (False, 1) and machine.get("b") is None
    assert not machine.apply(3, Command([Op("put", "b", b"1")], need=[("a", 0)])).ok
    assert machine.apply(4, Command([Op("put", "b", b"1"), Op("delete", "a")], need=[("a", 1)])).ok
    assert machine.get("a") is None and [e.revision for e in machine.events_after(1)] == [4, 4]


def test_a_key_lives_by_the_committed_clock_which_never_goes_back() -> None:
    machine = Machine()
    machine.apply(1, Command([Op("put", "k", b"1", ttl_ms=100)], now_ms=1000))
    machine.apply(2, Command(now_ms=1099))
    assert machine.get("k") and machine.next_end() == 1100
    machine.apply(3, Command(now_ms=500))
    assert machine.now_ms == 1099
    machine.apply(4, Command([Op("put", "k", b"2", ttl_ms=100)], now_ms=1099))  # renewed in time
    machine.apply(5, Command(now_ms=1150))
    assert machine.get("k")
    machine.apply(6, Command(now_ms=1199))
    assert machine.get("k") is None and machine.events_after(5) == [Event(6, "k", "expire", b"")]


def test_a_watch_that_is_too_far_behind_is_told_so() -> None:
    machine = Machine()
    for index in range(1, MAX_EVENTS + 3):
        machine.apply(index, Command([Op("put", "k", b"")]))
    with pytest.raises(Behind):
        machine.events_after(1)
    assert machine.events_after(2, limit=5)[0].revision == 3


@pytest.mark.parametrize(
    ("pattern", "key", "verdict"),
    [
        ("a/b", "a/b", True),
        ("a/*", "a/b", True),
        ("a/*", "a/b.c", False),
        ("a/>", "a/b.c", True),
        (">", "a", True),
        ("a/>", "a", False),
        ("*/b", "a/b", True),
        ("a/b", "a/c", False),
        ("a", "a/b", False),
    ],
)
def test_patterns(pattern: str, key: str, verdict: bool) -> None:
    assert matches(pattern, key) is verdict


@pytest.mark.parametrize(
    ("command", "word"),
    [
        (Command([Op("put", "")]), "key of 0 bytes"),
        (Command([Op("put", "k", bytes(2 << 20))]), "k: value of"),
        (Command([Op("put", "k"), Op("delete", "k")]), "twice"),
        (Command([Op("put", "k", ttl_ms=-1)]), "ttl"),
        (Command(need=[("k", 0)] * 65), "65 writes"),
    ],
)
def test_what_cannot_be_taken_is_refused_before_it_is_proposed(command: Command, word: str) -> None:
    assert word in fault(command)
