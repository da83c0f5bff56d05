"""Reads the endpoint file, and detects incomplete writes. May block: call it in a thread.

- A sealed file is accepted only if its content matches its seal, whether or not it is written atomically.
- An unsealed file is accepted once its bytes and its metadata have not changed for the settle time. If a
  writer changes the file in place and pauses for longer than the settle time, a mixture of old and new
  content is accepted if it is valid.
"""

import os
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto
from pathlib import Path

from wheatstile.config.violations import ConfigurationError
from wheatstile.resolvers.endpoint_file import EndpointFile, EndpointFileRules, parse_endpoint_file
from wheatstile.resolvers.regular_file import FileVersion, Snapshot, open_regular_file, snapshot

TORN_RETRIES_PER_SETTLE_TIME = 4  # polls in each settle time while reads of the file are torn


class ReadOutcome(Enum):
    """The outcome of polling the file once."""

    UNSETTLED = auto()  # the writer may not have finished yet
    UNCHANGED = auto()  # an earlier poll has reported this content
    COMPLETE = auto()  # the file is a valid endpoint file
    INVALID = auto()  # the file is not a valid endpoint file
    UNREADABLE = auto()  # the file is missing, is not a regular file, or cannot be read


@dataclass(frozen=True, slots=True)
class ReadResult:
    """The outcome of polling the file once, with its details."""

    outcome: ReadOutcome
    reasons: tuple[str, ...] = ()  # set for INVALID and UNREADABLE
    endpoint_file: EndpointFile | None = None  # set for COMPLETE
    retry_after_s: float = 0.0  # time until the next poll, set for UNSETTLED


@dataclass(frozen=True, slots=True)
class _Candidate:
    """A file that must stay unchanged for the settle time.

    It is kept open, so that it can settle even if another file replaces it at the path.
    """

    descriptor: int
    snapshot: Snapshot
    first_seen_s: float  # monotonic time
    parsed: EndpointFile | ConfigurationError


class EndpointFileReader:
    """Polls one endpoint file. Owns the descriptor of the candidate, a file that has not settled yet.

    Args:
        path: the path of the endpoint file.
        rules: the limits for the file.
        settle_time_s: time for which an unsealed file must not change.
        clock: returns monotonic seconds.

    """

    def __init__(
        self,
        path: Path,
        rules: EndpointFileRules,
        settle_time_s: float,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.path = path
        self.rules = rules
        self.settle_time_s = settle_time_s
        self._clock = clock
        self._candidate: _Candidate | None = None
        self._reported: FileVersion | None = None  # file version of the last COMPLETE or INVALID result

    def poll(self) -> ReadResult:
        """Read the file once. Does not raise: an error is part of the result."""
        try:
            return self._poll_candidate() or self._poll_path()
        except OSError as error:
            self.close()
            self._reported = None
            return ReadResult(ReadOutcome.UNREADABLE, (f"{self.path}: {error.strerror or error}",))

    def close(self) -> None:
        """Close the candidate's descriptor, if there is a candidate."""
        if self._candidate:
            os.close(self._candidate.descriptor)
            self._candidate = None

    def _poll_candidate(self) -> ReadResult | None:
        """Read the candidate again. Return None if there is no candidate, or if it was changed in place."""
        candidate = self._candidate
        if candidate is None:
            return None
        current = snapshot(candidate.descriptor, self.rules.max_bytes)
        if current.torn or current.version != candidate.snapshot.version:
            self.close()
            return None
        remaining_s = candidate.first_seen_s + self.settle_time_s - self._clock()
        if remaining_s > 0:
            return ReadResult(ReadOutcome.UNSETTLED, retry_after_s=remaining_s)
        self.close()
        return self._report(candidate.snapshot, candidate.parsed)

    def _poll_path(self) -> ReadResult:
        """Read the file at the path. It becomes the candidate if it must settle."""
        descriptor = open_regular_file(self.path)
        try:
            return self._read_descriptor(descriptor)
        finally:
            if self._candidate is None:
                os.close(descriptor)

    def _read_descriptor(self, descriptor: int) -> ReadResult:
        current = snapshot(descriptor, self.rules.max_bytes)
        if current.torn:
            retry_after_s = self.settle_time_s / TORN_RETRIES_PER_SETTLE_TIME
            return ReadResult(ReadOutcome.UNSETTLED, retry_after_s=retry_after_s)
        if current.version == self._reported:
            return ReadResult(ReadOutcome.UNCHANGED)
        parsed = self._parse(current.data)
        if isinstance(parsed, EndpointFile) and parsed.sealed:
            return self._report(current, parsed)
        self._candidate = _Candidate(descriptor, current, self._clock(), parsed)
        return ReadResult(ReadOutcome.UNSETTLED, retry_after_s=self.settle_time_s)

    def _parse(self, data: bytes) -> EndpointFile | ConfigurationError:
        try:
            return parse_endpoint_file(str(self.path), data, self.rules)
        except ConfigurationError as error:
            return error

    def _report(self, current: Snapshot, parsed: EndpointFile | ConfigurationError) -> ReadResult:
        self._reported = current.version
        if isinstance(parsed, ConfigurationError):
            return ReadResult(ReadOutcome.INVALID, tuple(parsed.lines()))
        return ReadResult(ReadOutcome.COMPLETE, endpoint_file=parsed)
