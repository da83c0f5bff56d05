"""A common model of OpenAPI and AsyncAPI descriptions, with source locations. Performs no I/O."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple, TypeAlias

from wheatstile.descriptions.findings import SourceLocation
from wheatstile.interface import DeduplicationScope, Idempotency

JsonValue: TypeAlias = "bool | int | float | str | list[JsonValue] | dict[str, JsonValue] | None"
"""A value of a JSON or YAML document."""

US_PER_S = 1_000_000


class Extension(StrEnum):
    """Keys of the extensions (`x-wheatstile-...`) in descriptions."""

    CLASS = "x-wheatstile-class"  # name of a service class
    RETRY = "x-wheatstile-repeat"  # a keyword of IDEMPOTENCY_KEYWORDS
    BECAUSE = "x-wheatstile-because"  # reason for declaring an operation safe if its format does not imply it
    SCOPE = "x-wheatstile-scope"  # a keyword of DECLARABLE_SCOPE_KEYWORDS
    WINDOW_S = "x-wheatstile-window-s"
    TIMEOUT_MS = "x-wheatstile-timeout-ms"


def format_seconds(duration_us: int) -> str:
    """Return a duration in seconds as text, such as `2.5 s`."""
    return f"{duration_us / US_PER_S:g} s"


@dataclass(frozen=True, slots=True)
class RetrySafety:
    """The idempotency of an operation, the reason for it, and the location that declares it."""

    idempotency: Idempotency
    reason: str
    location: SourceLocation
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL  # applies to IDEMPOTENCY_KEY only
    deduplication_window_us: int = 0  # applies to IDEMPOTENCY_KEY only; 0: not declared


class AssignedClass(NamedTuple):
    """The service class of an operation, and the location that assigns it."""

    name: str  # empty: no class is assigned
    location: SourceLocation | None


class DeclaredTimeout(NamedTuple):
    """The timeout of an operation, and the location that declares it."""

    timeout_us: int  # 0: no timeout is declared
    location: SourceLocation | None


NO_CLASS = AssignedClass("", None)
NO_TIMEOUT = DeclaredTimeout(0, None)


class OperationKind(StrEnum):
    """The kind of an operation. It depends on the format of the description."""

    HTTP = "http"  # OpenAPI: a method on a path
    MESSAGE = "message"  # AsyncAPI: messages on a channel


class HttpMethod(StrEnum):
    """An HTTP method that OpenAPI describes. The value is the name of the method in a request."""

    GET = "GET"
    PUT = "PUT"
    POST = "POST"
    DELETE = "DELETE"
    OPTIONS = "OPTIONS"
    HEAD = "HEAD"
    PATCH = "PATCH"
    TRACE = "TRACE"
    QUERY = "QUERY"


HTTP_METHODS = frozenset(HttpMethod)


class MessageAction(StrEnum):
    """An action of the described application itself. The values are the keywords of AsyncAPI 3.0."""

    SEND = "send"
    RECEIVE = "receive"


MESSAGE_ACTIONS = frozenset(MessageAction)


@dataclass(frozen=True, slots=True)
class Message:
    """A message of a channel, or the body of an HTTP request."""

    name: str
    location: SourceLocation
    discriminator: str = ""  # name of the property that selects an alternative of the schema; empty: none
    max_bytes: int | None = None  # maximum size as compact JSON; None: the schema sets no limit
    content_type: str = ""


@dataclass(frozen=True, slots=True)
class Operation:
    """One operation: an HTTP method on a path, or a MessageAction on a channel."""

    kind: OperationKind
    action: str  # an HttpMethod or a MessageAction
    route: str  # path template, or subject pattern
    id: str
    location: SourceLocation
    retry_safety: RetrySafety
    tags: tuple[str, ...] = ()
    channel: str = ""
    servers: tuple[str, ...] = ()  # URLs
    queue_group: str = ""  # queue group in the NATS binding; empty: none
    messages: tuple[Message, ...] = ()
    reply: str = ""  # address of the channel for replies; empty: none
    service_class: str = ""  # empty: the description declares none
    class_location: SourceLocation | None = None
    timeout_us: int = 0  # 0: the description declares none
    timeout_location: SourceLocation | None = None
    bindings: Mapping[str, JsonValue] = field(default_factory=dict, hash=False, compare=False)

    @property
    def name(self) -> str:
        """The name of the operation in error messages, such as `GET /orders`."""
        return f"{self.action} {self.route}"


@dataclass(frozen=True, slots=True)
class Description:
    """The content of one description file."""

    file: str
    title: str
    format: str  # name and version of the format, such as "openapi 3.1"
    operations: tuple[Operation, ...]
