"""JSON messages between the balancer and the worker that compiles descriptions. Performs no I/O.

Field names are the keys in the JSON. A service class is encoded as an array of its fields, with keywords for
the idempotency and the deduplication scope. `worker_protocol` converts these messages to and from the types
that the rest of the package uses.
"""

import msgspec

from wheatstile.config.operator import Operator


class ClassSettingsMessage(msgspec.Struct, frozen=True, array_like=True):
    """A service class in a request."""

    idempotency: str
    scope: str
    window_us: int
    client_deadline_us: int


class CompiledClassMessage(msgspec.Struct, frozen=True, array_like=True):
    """A service class in a result."""

    idempotency: str
    scope: str
    window_us: int


class RequestMessage(msgspec.Struct, frozen=True, kw_only=True):
    """A request to compile descriptions."""

    operator: str  # absolute path of the operator's file
    classes: dict[str, ClassSettingsMessage]
    settings: Operator
    max_attempts: int


class SummaryMessage(msgspec.Struct, frozen=True, kw_only=True):
    """The result of a successful compilation."""

    classes: dict[str, CompiledClassMessage]
    routes: int
    read: list[str]  # paths of all files that were read
    warnings: list[str]


class RejectionMessage(msgspec.Struct, frozen=True, kw_only=True):
    """The result of a failed compilation."""

    refused: list[str]  # reasons for the rejection; may be truncated
    faults: int | None = None  # number of reasons before truncation; None: not truncated
