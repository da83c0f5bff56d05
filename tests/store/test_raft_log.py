"""`RaftLog`."""

from __future__ import annotations

import random

import pytest

from wheatstile.store.raft.messages import Entry, EntryKind
from wheatstile.store.raft.node import RaftNode


def test_a_log_with_a_gap_is_rejected() -> None:
    with pytest.raises(ValueError, match="index 5, not 1"):
        RaftNode("a", "abc", random.Random(1).randrange, entries=[Entry(1, 5, EntryKind.NOOP)])
