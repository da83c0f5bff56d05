"""Computes the delivery time and the number of copies of each piece of a stream. Performs no I/O."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Protocol

from wheatstile.fault_proxy.fault_table import LinkConditions
from wheatstile.fault_proxy.frames import FrameSplitter


class RandomSource(Protocol):
    """The method of `random.Random` that the schedule uses."""

    def random(self) -> float:
        """Return a number of at least 0 and less than 1."""
        ...


@dataclass(frozen=True, slots=True)
class ScheduledPiece:
    """Bytes to deliver at `due_s` on the event loop's clock. Empty `data` marks the end of the stream."""

    due_s: float
    data: bytes


class DeliverySchedule:
    """The delivery schedule of one direction of a connection. Delays never change the order of pieces.

    With `frames`, each piece is a frame, which may be lost or delivered twice. The first frame is always
    delivered exactly once, because it identifies the sender.
    """

    def __init__(self, generator: RandomSource, *, frames: bool) -> None:
        self._generator = generator
        self._splitter = FrameSplitter() if frames else None
        self._first_pending = True
        self._last_due_s = 0.0

    def split(self, data: bytes) -> list[bytes]:
        """Add `data` to the stream, and return the pieces that it completes. Raises FrameTooLongError."""
        if self._splitter is None:
            return [data]
        return self._splitter.feed(data)

    def add(self, piece: bytes, conditions: LinkConditions, now_s: float) -> Iterator[ScheduledPiece]:
        """Yield the zero, one or two deliveries of a piece that was read at `now_s`."""
        # Loss, duplication and jitter are drawn in this order: another order would change the run of a seed.
        copies = self._copies(conditions)
        jitter_s = self._generator.random() * conditions.jitter_s
        self._last_due_s = max(self._last_due_s, now_s + conditions.delay_s + jitter_s)
        for _ in range(copies):
            yield ScheduledPiece(self._last_due_s, piece)

    def end(self) -> ScheduledPiece:
        """Return the end of the stream, which is due at the same time as the last piece."""
        return ScheduledPiece(self._last_due_s, b"")

    def _copies(self, conditions: LinkConditions) -> int:
        always_delivered = self._splitter is None or self._first_pending
        self._first_pending = False
        if always_delivered:
            return 1
        if self._generator.random() < conditions.loss_ratio:
            return 0
        if self._generator.random() < conditions.duplication_ratio:
            return 2
        return 1
