"""Reads the endpoint file complete or not at all. May block: call it off the event loop.

What it guarantees: a sealed file is accepted only as its writer made it, however it was written. An unsealed
one is accepted once it has stayed unchanged, by its bytes and by what the file system says of it, for the
settle time. A writer that rewrites an unsealed file in place and pauses for longer than that in the middle
can still be believed, if what stands there by then happens to be a valid file.
"""

import os
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto
from pathlib import Path

from wheatstile.config.violations import ConfigurationError
from wheatstile.resolvers.endpoint_file import EndpointFile, EndpointFileRules, parse_endpoint_file
from wheatstile.resolvers.regular_file import FileSignature, Snapshot, open_regular, snapshot

TORN_RETRIES_PER_SETTLE_TIME = 4  # reads within the settle time of a file that changes while it is read


class ReadOutcome(Enum):
    """What one poll of the file came to."""

    UNSETTLED = auto()  # it may still be being written
    UNCHANGED = auto()  # its content has been reported before
    COMPLETE = auto()  # it holds a valid endpoint file
    INVALID = auto()  # its content cannot be used
    UNREADABLE = auto()  # it is missing, is no regular file, or cannot be read


@dataclass(frozen=True, slots=True)
class ReadResult:
    """What one poll of the file came to, and why."""

    outcome: ReadOutcome
    reasons: tuple[str, ...] = ()  # of INVALID and UNREADABLE
    endpoint_file: EndpointFile | None = None  # of COMPLETE
    retry_after_s: float = 0.0  # of UNSETTLED: when the next poll is due


@dataclass(frozen=True, slots=True)
class _Candidate:
    """A file that has to settle. It is kept open, and settles even if its name moves to another file."""

    descriptor: int
    snapshot: Snapshot
    first_seen_s: float  # by the reader's clock
    parsed: EndpointFile | ConfigurationError


class EndpointFileReader:
    """Polls one endpoint file. Owns the descriptor of the file that it watches settle.

    Args:
        path: the file's path.
        rules: the limits that the file has to keep to.
        settle_time_s: for how long an unsealed file has to stay unchanged.
        clock: seconds, monotonic.

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
        self._reported: tuple[FileSignature, bytes] | None = None  # signature and fingerprint last reported

    def poll(self) -> ReadResult:
        """Read the file once. Raises nothing: what is wrong with the file is in the result."""
        try:
            return self._poll_candidate() or self._poll_path()
        except OSError as error:
            self.close()
            self._reported = None
            return ReadResult(ReadOutcome.UNREADABLE, (f"{self.path}: {error.strerror or error}",))

    def close(self) -> None:
        """Close the file that is settling, if there is one."""
        if self._candidate:
            os.close(self._candidate.descriptor)
            self._candidate = None

    def _poll_candidate(self) -> ReadResult | None:
        """Read the candidate again. None if there is none, or if it was rewritten in place."""
        candidate = self._candidate
        if candidate is None:
            return None
        current = snapshot(candidate.descriptor, self.rules.max_bytes)
        if current.torn or not current.has_same_content(candidate.snapshot):
            self.close()
            return None
        remaining_s = candidate.first_seen_s + self.settle_time_s - self._clock()
        if remaining_s > 0:
            return ReadResult(ReadOutcome.UNSETTLED, retry_after_s=remaining_s)
        self.close()
        return self._report(candidate.snapshot, candidate.parsed)

    def _poll_path(self) -> ReadResult:
        """Read the file that the path leads to, which becomes the candidate if it has to settle."""
        descriptor = open_regular(self.path)
        try:
            result = self._read_opened(descriptor)
        finally:
            if self._candidate is None:
                os.close(descriptor)
        return result

    def _read_opened(self, descriptor: int) -> ReadResult:
        current = snapshot(descriptor, self.rules.max_bytes)
        if current.torn:
            retry_after_s = self.settle_time_s / TORN_RETRIES_PER_SETTLE_TIME
            return ReadResult(ReadOutcome.UNSETTLED, retry_after_s=retry_after_s)
        if self._reported == (current.signature, current.fingerprint):
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
        self._reported = (current.signature, current.fingerprint)
        if isinstance(parsed, ConfigurationError):
            return ReadResult(ReadOutcome.INVALID, tuple(parsed.lines()))
        return ReadResult(ReadOutcome.COMPLETE, endpoint_file=parsed)
