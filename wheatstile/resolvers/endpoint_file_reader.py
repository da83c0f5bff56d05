"""Reads the endpoint file completely or not at all. May block: call it in a thread.

- A sealed file is accepted only with the content that its writer sealed, however it is written.
- An unsealed file is accepted once its bytes and its metadata have not changed for the settle time. If a
  writer changes it in place and pauses for longer than that, a mixture of old and new content is accepted if
  it is valid.
"""

import os
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto
from pathlib import Path

from wheatstile.config.violations import ConfigurationError
from wheatstile.resolvers.endpoint_file import EndpointFile, EndpointFileRules, parse_endpoint_file
from wheatstile.resolvers.regular_file import FileVersion, Snapshot, open_regular, snapshot

TORN_RETRIES_PER_SETTLE_TIME = 4  # polls within the settle time if the file changes while it is read


class ReadOutcome(Enum):
    """The outcome of one poll of the file."""

    UNSETTLED = auto()  # a writer may not have finished yet
    UNCHANGED = auto()  # the content was reported by an earlier poll
    COMPLETE = auto()  # the file is a valid endpoint file
    INVALID = auto()  # the content cannot be used
    UNREADABLE = auto()  # the file is missing, is not a regular file, or cannot be read


@dataclass(frozen=True, slots=True)
class ReadResult:
    """The outcome of one poll of the file, with its details."""

    outcome: ReadOutcome
    reasons: tuple[str, ...] = ()  # given for INVALID and UNREADABLE
    endpoint_file: EndpointFile | None = None  # given for COMPLETE
    retry_after_s: float = 0.0  # time until the next poll is due, given for UNSETTLED


@dataclass(frozen=True, slots=True)
class _Candidate:
    """A file that must settle. It stays open, so that it can settle even if another file replaces it."""

    descriptor: int
    snapshot: Snapshot
    first_seen_s: float  # time of the reader's clock
    parsed: EndpointFile | ConfigurationError


class EndpointFileReader:
    """Polls one endpoint file. Owns the descriptor of the candidate, the file that must settle.

    Args:
        path: the file's path.
        rules: the limits that the file must keep to.
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
        self._reported: FileVersion | None = None  # version of the last COMPLETE or INVALID result

    def poll(self) -> ReadResult:
        """Read the file once. Raises nothing: an error is part of the result."""
        try:
            return self._poll_candidate() or self._poll_path()
        except OSError as error:
            self.close()
            self._reported = None
            return ReadResult(ReadOutcome.UNREADABLE, (f"{self.path}: {error.strerror or error}",))

    def close(self) -> None:
        """Close the candidate, if there is one."""
        if self._candidate:
            os.close(self._candidate.descriptor)
            self._candidate = None

    def _poll_candidate(self) -> ReadResult | None:
        """Read the candidate again. Return None if there is none, or if it was changed in place."""
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
        descriptor = open_regular(self.path)
        try:
            return self._read_opened(descriptor)
        finally:
            if self._candidate is None:
                os.close(descriptor)

    def _read_opened(self, descriptor: int) -> ReadResult:
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
