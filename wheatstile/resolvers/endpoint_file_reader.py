"""The endpoint file, read whole or not at all. May block: call it off the loop.

What it can promise: a sealed document is taken only as its writer made it, however it was written. An
unsealed one is taken once its file has stood unchanged, by its bytes and by what the file system says of it,
for the settle time; a writer that rewrites it in place and rests longer than that in the middle can still be
believed, where the middle happens to be a whole document.
"""

import os
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Literal

from wheatstile.config.violations import ConfigurationError
from wheatstile.resolvers.endpoint_file import EndpointFile, EndpointFileRules, parse_endpoint_file
from wheatstile.resolvers.regular_file import Snapshot, open_regular, snapshot


@dataclass(frozen=True, slots=True)
class ReadResult:
    """What one look at the file came to."""

    outcome: Literal["unsettled", "same", "whole", "refused", "problem"]
    reasons: tuple[str, ...] = ()
    document: EndpointFile | None = None
    wait: float = 0.0  # seconds after which to look again, where it is unsettled


@dataclass(slots=True)
class _Candidate:
    """A file under observation, kept open: it settles even when its name goes to another file meanwhile."""

    descriptor: int
    snapshot: Snapshot
    since: float
    verdict: EndpointFile | ConfigurationError


class EndpointFileReader:
    """Reads one file of servers. Owns the descriptor of the file that it watches settle."""

    def __init__(
        self, path: Path, rules: EndpointFileRules, settle: float, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.path, self.rules, self.settle, self._clock = path, rules, settle, clock
        self._candidate: _Candidate | None = None
        self._done: tuple[tuple[int, ...], bytes] | None = None  # what was last told of

    def poll(self) -> ReadResult:
        """One look. Raises nothing: what is wrong with the file is the reading's to tell."""
        try:
            if (reading := self._again()) is not None:
                return reading
            return self._first()
        except OSError as error:
            self.close()
            self._done = None
            return ReadResult("problem", (f"{self.path}: {error.strerror or error}",))

    def close(self) -> None:
        if self._candidate:
            os.close(self._candidate.descriptor)
            self._candidate = None

    def _again(self) -> ReadResult | None:
        """Look once more at the candidate; None if there is none, or it was rewritten in place."""
        candidate = self._candidate
        if candidate is None:
            return None
        now = snapshot(candidate.descriptor, self.rules.most_bytes)
        same = (
            now.signature == candidate.snapshot.signature
            and now.fingerprint == candidate.snapshot.fingerprint
        )
        if now.torn or not same:
            self.close()
            return None
        left = candidate.since + self.settle - self._clock()
        return ReadResult("unsettled", wait=left) if left > 0 else self._tell(candidate)

    def _first(self) -> ReadResult:
        descriptor = open_regular(self.path)
        try:
            found = snapshot(descriptor, self.rules.most_bytes)
            if not found.torn and self._done == (found.signature, found.fingerprint):
                return ReadResult("same")
            if found.torn:
                return ReadResult("unsettled", wait=self.settle / 4)
            verdict = self._read(found.data)
            candidate = _Candidate(descriptor, found, self._clock(), verdict)
            if isinstance(verdict, EndpointFile) and verdict.sealed:
                return self._tell(candidate, keep=True)
            self._candidate, descriptor = candidate, -1
            return ReadResult("unsettled", wait=self.settle)
        finally:
            if descriptor >= 0:
                os.close(descriptor)

    def _read(self, data: bytes) -> EndpointFile | ConfigurationError:
        try:
            return parse_endpoint_file(str(self.path), data, self.rules)
        except ConfigurationError as refused:
            return refused

    def _tell(self, candidate: _Candidate, keep: bool = False) -> ReadResult:
        if not keep:
            self.close()
        self._done = candidate.snapshot.signature, candidate.snapshot.fingerprint
        if isinstance(candidate.verdict, ConfigurationError):
            return ReadResult("refused", tuple(candidate.verdict.lines()))
        return ReadResult("whole", document=candidate.verdict)
