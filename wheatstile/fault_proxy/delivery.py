"""When each piece of a stream is delivered and how often, by seeded draws; no input or output."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Protocol

from wheatstile.fault_proxy.fault_table import LinkConditions
from wheatstile.fault_proxy.frames import FrameSplitter


class RandomSource(Protocol):
    """The part of `random.Random` that is used here."""

    def random(self) -> float:
        """Return the next draw, from 0 up to but not including 1."""
        ...


@dataclass(frozen=True, slots=True)
class ScheduledPiece:
    """Bytes to be delivered at `due_s` on the loop's clock; no bytes: the end of the stream."""

    due_s: float
    data: bytes


class DeliverySchedule:
    """The schedule of one direction of a connection. Pieces keep their order, whatever their delays.

    With `frames` set, the pieces are frames, which may be lost or come twice, but for the first one: it says
    who has connected.
    """

    def __init__(self, draws: RandomSource, *, frames: bool) -> None:
        self._draws = draws
        self._splitter = FrameSplitter() if frames else None
        self._first_pending = True
        self._last_due_s = 0.0

    def split(self, data: bytes) -> list[bytes]:
        """Return the pieces that `data` completes. Raises FrameTooLongError."""
        return [data] if self._splitter is None else self._splitter.feed(data)

    def add(self, piece: bytes, conditions: LinkConditions, now_s: float) -> Iterator[ScheduledPiece]:
        """Schedule one piece that was read at `now_s`: it is delivered not at all, once, or twice."""
        # The order of the draws is part of what a seed replays: loss, duplication, jitter.
        copies = self._copies(conditions)
        jitter_s = self._draws.random() * conditions.jitter_s
        self._last_due_s = max(self._last_due_s, now_s + conditions.delay_s + jitter_s)
        for _ in range(copies):
            yield ScheduledPiece(self._last_due_s, piece)

    def end(self) -> ScheduledPiece:
        """Return the end of the stream, which comes after every piece."""
        return ScheduledPiece(self._last_due_s, b"")

    def _copies(self, conditions: LinkConditions) -> int:
        always_delivered = self._splitter is None or self._first_pending
        self._first_pending = False
        if always_delivered:
            return 1
        if self._draws.random() < conditions.loss_ratio:
            return 0
        if self._draws.random() < conditions.duplication_ratio:
            return 2
        return 1
