"""The enumerations of the interface. Their values are the strings that appear in the log."""

from enum import StrEnum


class LoadMetric(StrEnum):
    """A metric of a load report."""

    LOAD = "load"  # work divided by capacity; at 1.0 the server is full
    BUSY_SHARE = "busy"  # fraction of the CPU cores in use
    BACKLOG_S = "backlog_s"  # seconds of queued work
    IN_FLIGHT = "inflight"  # requests being processed
    QUEUE_LENGTH = "queue"  # queued requests
    LATENCY_MS = "latency_ms"
    SERVED_PER_S = "served_per_s"
    ERRORS_PER_S = "errors_per_s"


class Idempotency(StrEnum):
    """The idempotency of a request: whether it may be sent a second time."""

    IDEMPOTENT = "idempotent"  # a repeat is harmless
    IDEMPOTENCY_KEY = "idempotency_key"  # servers of one scope discard a repeat within a time window
    NON_IDEMPOTENT = "non_idempotent"  # a repeat may take effect twice


class DeduplicationScope(StrEnum):
    """The servers that share one record of idempotency keys, and so discard a repeat."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"
    UNKNOWN = "unknown"  # value from a newer platform; treated as no deduplication


class EndpointState(StrEnum):
    """The state of a server in the endpoint list."""

    READY = "ready"
    DRAINING = "draining"  # completes its connections and accepts no new ones
    GONE = "gone"


class EndpointUpdateKind(StrEnum):
    """The content of an update of the endpoint list."""

    DELTA = "delta"  # only the changed endpoints
    FULL = "full"  # all endpoints
    CACHED = "cached"  # all endpoints, possibly stale
    FAILED = "failed"  # no endpoints: a call to discovery failed
    MOVED = "moved"  # no endpoints: the address of discovery has changed


class AttemptOutcome(StrEnum):
    """The outcome of an attempt, of an established connection or of a health check."""

    OK = "ok"
    ERROR = "error"
    OVERLOADED = "overloaded"  # rejected by the server, without effect
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"  # abandoned before anything was sent; not a failure of the server

    @property
    def is_ok(self) -> bool:
        """True if the outcome is OK."""
        return self is _OK

    @property
    def is_failure(self) -> bool:
        """True if the outcome counts as a failure of the server."""
        return self not in _NON_FAILURES

    @property
    def may_have_run(self) -> bool:
        """True if the server may have acted on the request."""
        return self not in _CANNOT_HAVE_RUN


# Cached, since access to an enum member is slow in Python 3.11.
_OK = AttemptOutcome.OK
_NON_FAILURES = (AttemptOutcome.OK, AttemptOutcome.CANCELLED, AttemptOutcome.NOT_SENT)
_CANNOT_HAVE_RUN = (AttemptOutcome.OVERLOADED, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.NOT_SENT)
