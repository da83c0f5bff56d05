"""Summarizes a member's directory for operators, without a running member and without changing a file."""

from __future__ import annotations

from pathlib import Path

import msgspec

from wheatstile.store.directory_contents import DirectoryContents, read_directory
from wheatstile.store.raft.messages import Configuration, HardState, Snapshot
from wheatstile.store.state_machine import StateMachine

NO_FORMAT = 0
"""Value of `DirectorySummary.format` if the directory has no log."""


class DirectorySummary(msgspec.Struct, frozen=True):
    """The output of `store inspect`, which prints the encoded names of the fields as keys."""

    name: str
    cluster: str
    format: int
    term: int
    vote: str
    commit_index: int = msgspec.field(name="commit")
    last_index: int = msgspec.field(name="last")
    last_term: int
    snapshot_index: int = msgspec.field(name="snapshot")
    snapshot_key_count: int = msgspec.field(name="snapshot_keys")
    entry_count: int = msgspec.field(name="entries")
    torn_bytes: int
    voters: list[str]
    learners: list[str]


def inspect_directory(directory: Path) -> DirectorySummary:
    """Return a summary of a member's directory. Raises `CorruptStorageError`, OSError."""
    contents = read_directory(directory)
    return _summarize(contents)


def _summarize(contents: DirectoryContents) -> DirectorySummary:
    header = contents.header
    hard_state = contents.hard_state or HardState(0, None, 0)
    snapshot = contents.snapshot or Snapshot(0, 0, Configuration(frozenset()), b"")
    machine = StateMachine.load(snapshot.data)
    last = contents.entries[-1] if contents.entries else snapshot
    configurations = [entry.configuration for entry in contents.entries if entry.configuration]
    configuration = configurations[-1] if configurations else snapshot.configuration
    return DirectorySummary(
        name=header.name if header else "",
        cluster=header.cluster if header else "",
        format=header.format if header else NO_FORMAT,
        term=hard_state.term,
        vote=hard_state.vote or "",
        commit_index=hard_state.commit,
        last_index=last.index,
        last_term=last.term,
        snapshot_index=snapshot.index,
        snapshot_key_count=sum(1 for _ in machine.matching_keys(">")),
        entry_count=len(contents.entries),
        torn_bytes=contents.torn_bytes,
        voters=sorted(configuration.voters),
        learners=sorted(configuration.learners),
    )
