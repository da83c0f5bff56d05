"""What OpenAPI and AsyncAPI descriptions declare, in one form. Every statement keeps its source location."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TypeAlias

from wheatstile.descriptions.findings import SourceLocation
from wheatstile.interface import DeduplicationScope, Idempotency

JsonValue: TypeAlias = "bool | int | float | str | list[JsonValue] | dict[str, JsonValue] | None"
"""A value of a JSON or YAML document."""

MICROSECONDS_PER_SECOND = 1_000_000
DEDUPLICATION_SCOPES = (DeduplicationScope.ALL, DeduplicationScope.ZONE, DeduplicationScope.CELL)
"""The scopes that a description may declare."""


class Extension(StrEnum):
    """Keys of our extensions in descriptions."""

    CLASS = "x-wheatstile-class"  # name of a service class
    RETRY = "x-wheatstile-repeat"  # an Idempotency
    BECAUSE = "x-wheatstile-because"  # why an operation may be retried that seems unsafe
    SCOPE = "x-wheatstile-scope"  # a DeduplicationScope
    WINDOW_S = "x-wheatstile-window-s"
    TIMEOUT_MS = "x-wheatstile-timeout-ms"


IDEMPOTENCY_STRICTNESS: Mapping[Idempotency, int] = {
    Idempotency.IDEMPOTENT: 0,
    Idempotency.IDEMPOTENCY_KEY: 1,
    Idempotency.NON_IDEMPOTENT: 2,
}
"""Of two statements on one operation or class, the one of the larger figure holds."""

SCOPE_NARROWNESS: Mapping[DeduplicationScope, int] = {
    DeduplicationScope.ALL: 0,
    DeduplicationScope.ZONE: 1,
    DeduplicationScope.CELL: 2,
    DeduplicationScope.UNKNOWN: 3,
}
"""Of two deduplication scopes, the one of the larger figure holds: fewer servers discard a repeat."""


def stricter(first: Idempotency, second: Idempotency) -> Idempotency:
    """Return the one that allows fewer retries."""
    return max(first, second, key=IDEMPOTENCY_STRICTNESS.__getitem__)


def is_stricter(first: Idempotency, second: Idempotency) -> bool:
    """Whether the first allows fewer retries than the second."""
    return IDEMPOTENCY_STRICTNESS[first] > IDEMPOTENCY_STRICTNESS[second]


def narrower(first: DeduplicationScope, second: DeduplicationScope) -> DeduplicationScope:
    """Return the scope in which fewer servers discard a repeat."""
    return max(first, second, key=SCOPE_NARROWNESS.__getitem__)


@dataclass(frozen=True, slots=True)
class RetrySafety:
    """Whether an operation may be retried, why, and where that was declared."""

    idempotency: Idempotency
    reason: str
    location: SourceLocation
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL  # for IDEMPOTENCY_KEY
    deduplication_window_us: int = 0  # for IDEMPOTENCY_KEY; 0: not declared


class OperationKind(StrEnum):
    """The kind of description that an operation comes from."""

    HTTP = "http"  # OpenAPI: a method on a path
    MESSAGE = "message"  # AsyncAPI: messages on a channel


class MessageAction(StrEnum):
    """What the described application does with a message, from its own view."""

    SEND = "send"
    RECEIVE = "receive"


@dataclass(frozen=True, slots=True)
class Message:
    """One message that a channel carries, or one body of an HTTP request."""

    name: str
    location: SourceLocation
    discriminator: str = ""  # the property that tells the alternatives of the schema apart
    max_bytes: int | None = None  # where the schema bounds the size of its JSON
    content_type: str = ""


@dataclass(frozen=True, slots=True)
class Operation:
    """One operation: an HTTP method on a path, or sending or receiving on a channel."""

    kind: OperationKind
    action: str  # the HTTP method in capitals, or a MessageAction
    route: str  # path template, or subject pattern
    id: str
    location: SourceLocation
    retry_safety: RetrySafety
    tags: tuple[str, ...] = ()
    channel: str = ""
    servers: tuple[str, ...] = ()  # URLs
    queue_group: str = ""  # of a NATS binding
    messages: tuple[Message, ...] = ()
    reply: str = ""  # address of the channel that replies go to
    service_class: str = ""  # empty: the description declares none
    class_location: SourceLocation | None = None
    timeout_us: int = 0  # 0: the description declares none
    timeout_location: SourceLocation | None = None
    bindings: Mapping[str, JsonValue] = field(default_factory=dict, hash=False, compare=False)

    @property
    def name(self) -> str:
        """The operation as messages name it, such as `GET /orders`."""
        return f"{self.action} {self.route}"


@dataclass(frozen=True, slots=True)
class Description:
    """One description file."""

    file: str
    title: str
    format: str  # "openapi 3.1", "asyncapi 2.6", ...
    operations: tuple[Operation, ...]
