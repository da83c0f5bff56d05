"""What a leader knows of one follower: how far it is, and what is on the way to it. Pure."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from wheatstile.store.messages import Snapshot

WINDOW = 32
"""Appends on the way to one follower at most; more entries wait for an answer."""


@dataclass(slots=True)
class Progress:
    """`probing`: one append at a time until the follower's log is found to match; then `WINDOW` at once.

    With `snapshot` set the follower is brought up by it, from byte `offset` on.
    """

    match: int = 0
    next: int = 1
    probing: bool = True
    waiting: bool = False  # while probing, or sending a snapshot: one message is out
    inflight: deque[int] = field(default_factory=deque)  # the last index of each append on the way
    snapshot: Snapshot | None = None
    offset: int = 0
    round: int = 0  # the latest heartbeat that it has answered
    sent: int = 0  # the latest tick of its own clock that it has told

    def free(self) -> bool:
        return not self.waiting if self.probing or self.snapshot else len(self.inflight) < WINDOW

    def sending(self, entries: int) -> None:
        """An append of so many entries goes out."""
        if self.probing:
            self.waiting = True
        elif entries:
            self.next += entries
            self.inflight.append(self.next - 1)

    def accepted(self, index: int) -> None:
        while self.inflight and self.inflight[0] <= index:
            self.inflight.popleft()
        self.match = max(self.match, index)
        if self.probing:
            self.probing, self.waiting, self.next = False, False, self.match + 1
        self.next = max(self.next, index + 1)

    def rejected(self, index: int, hint: int) -> bool:
        """The entry at `index` does not match; False where that is news of the past."""
        if index <= self.match or (self.probing and index != self.next - 1):
            return False
        self.probing, self.waiting = True, False
        self.inflight.clear()
        self.next = max(self.match + 1, min(index, hint + 1))
        return True

    def begin_snapshot(self, snapshot: Snapshot) -> None:
        self.snapshot, self.offset, self.waiting = snapshot, 0, False
        self.inflight.clear()

    def end_snapshot(self, index: int) -> None:
        self.snapshot, self.probing, self.waiting = None, True, False
        self.match = max(self.match, index)
        self.next = self.match + 1
