"""The leader's view of one follower's log, and the flow control of appends to it (etcd's `Progress`)."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from wheatstile.store.raft.messages import Snapshot

MAX_INFLIGHT_APPENDS = 32
"""Maximum number of unacknowledged appends to one follower."""


@dataclass(slots=True)
class Progress:
    """Replication state of one follower.

    While `probing`, the leader sends one append at a time, until it knows where the follower's log matches
    its own. After that, up to `MAX_INFLIGHT_APPENDS` may be unacknowledged. While `snapshot` is set, the
    leader sends the snapshot's chunks and no entries.
    """

    match_index: int = 0
    """The highest index up to which the follower's log is known to match the leader's."""
    next_index: int = 1
    """The index of the next entry to send."""
    probing: bool = True
    awaiting_reply: bool = False
    """While probing or sending a snapshot, true if the last message is unacknowledged."""
    inflight: deque[int] = field(default_factory=deque)
    """The last index of each unacknowledged append, oldest first."""
    snapshot: Snapshot | None = None
    snapshot_offset: int = 0
    """The offset of the first byte of `snapshot` that the follower does not have."""
    acknowledged_round: int = 0
    """The latest heartbeat round that the follower has acknowledged."""
    reported_tick: int = 0
    """The latest tick of the follower's clock that its replies have reported."""

    def can_send(self) -> bool:
        """Return whether flow control allows another message."""
        if self.probing or self.snapshot:
            return not self.awaiting_reply
        return len(self.inflight) < MAX_INFLIGHT_APPENDS

    def on_append_sent(self, entry_count: int) -> None:
        """Record that an append of `entry_count` entries, starting at `next_index`, was sent."""
        if self.probing:
            self.awaiting_reply = True
        elif entry_count:
            self.next_index += entry_count
            self.inflight.append(self.next_index - 1)

    def on_append_accepted(self, index: int) -> None:
        """Record that the follower's log matches up to `index`."""
        while self.inflight and self.inflight[0] <= index:
            self.inflight.popleft()
        self.match_index = max(self.match_index, index)
        if self.probing:
            self.probing = False
            self.awaiting_reply = False
            self.next_index = self.match_index + 1
        self.next_index = max(self.next_index, index + 1)

    def on_append_rejected(self, index: int, resume_from: int) -> bool:
        """Lower `next_index` after the follower has rejected an append whose preceding entry is at `index`.

        The logs may match at `resume_from`. Returns False without a change if the rejection is outdated.
        """
        if index <= self.match_index or (self.probing and index != self.next_index - 1):
            return False
        self.probing = True
        self.awaiting_reply = False
        self.inflight.clear()
        self.next_index = max(self.match_index + 1, min(index, resume_from + 1))
        return True

    def start_snapshot(self, snapshot: Snapshot) -> None:
        """Stop sending entries, and start to send `snapshot` from its first byte."""
        self.snapshot = snapshot
        self.snapshot_offset = 0
        self.awaiting_reply = False
        self.inflight.clear()

    def finish_snapshot(self, index: int) -> None:
        """Return to probing with entries; the follower's log matches up to `index`."""
        self.snapshot = None
        self.probing = True
        self.awaiting_reply = False
        self.match_index = max(self.match_index, index)
        self.next_index = self.match_index + 1
