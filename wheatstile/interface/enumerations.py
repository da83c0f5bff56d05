"""Enumerations of the interface. Their values are the strings that go to files and into the log."""

from enum import StrEnum


class LoadMetric(StrEnum):
    """A figure of a load report."""

    LOAD = "load"  # work over capacity; 1.0 is full
    BUSY_SHARE = "busy"  # share of the cores in use
    BACKLOG_S = "backlog_s"  # seconds of work piled up
    IN_FLIGHT = "inflight"  # requests in work
    QUEUE_LENGTH = "queue"  # requests that wait
    LATENCY_MS = "latency_ms"
    SERVED_PER_S = "served_per_s"
    ERRORS_PER_S = "errors_per_s"


class Idempotency(StrEnum):
    """What a second attempt of a request may do."""

    IDEMPOTENT = "safe"  # a repeat does no harm
    IDEMPOTENCY_KEY = "keyed"  # servers of one deduplication scope discard a repeat, within a window
    NON_IDEMPOTENT = "unsafe"  # a repeat may take effect twice


class DeduplicationScope(StrEnum):
    """Which servers discard a repeat of a request that carries an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"
    UNKNOWN = "unknown"  # a word that this version does not know: nobody is relied on to discard a repeat


class EndpointState(StrEnum):
    """The state of a server in the list of servers."""

    READY = "ready"
    DRAINING = "draining"  # completes what it holds and wants nothing new
    GONE = "gone"


class EndpointUpdateKind(StrEnum):
    """What an update of the list of servers holds."""

    DELTA = "delta"  # the endpoints that changed
    FULL = "full"  # the whole list
    CACHED = "cached"  # the whole list, maybe out of date
    FAILED = "failed"  # nothing: a call to discovery failed
    MOVED = "moved"  # nothing: discovery is at another address from now on


class AttemptOutcome(StrEnum):
    """How an attempt, an established connection or a health check ended."""

    OK = "ok"
    ERROR = "error"
    OVERLOADED = "overloaded"  # the server turned it away, and it has not run
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"  # given up before anything was sent; the server has not failed

    @property
    def is_ok(self) -> bool:
        """Whether it is OK."""
        return self is _OK

    @property
    def is_failure(self) -> bool:
        """Whether it speaks against the server."""
        return self not in _WITHOUT_FAULT

    @property
    def may_have_run(self) -> bool:
        """Whether the server may have acted on the request."""
        return self not in _WITHOUT_EFFECT


# Looked up once: the access to a member of an enumeration takes 0.25 us in Python 3.11.
_OK = AttemptOutcome.OK
_WITHOUT_FAULT = (AttemptOutcome.OK, AttemptOutcome.CANCELLED, AttemptOutcome.NOT_SENT)
_WITHOUT_EFFECT = (AttemptOutcome.OVERLOADED, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.NOT_SENT)
