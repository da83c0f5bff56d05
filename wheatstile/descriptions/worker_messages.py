"""JSON messages between the balancer and the process that compiles descriptions. Pure.

The fields are named as the keys of the JSON. A class is an array of its fields, with its idempotency and
deduplication scope as keywords. `worker_protocol` converts the messages from and to the program's own types.
"""

import msgspec

from wheatstile.config.operator import Operator


class ClassSettingsMessage(msgspec.Struct, frozen=True, array_like=True):
    """A service class in a request."""

    idempotency: str
    scope: str
    window_us: int
    client_deadline_us: int


class LearnedClassMessage(msgspec.Struct, frozen=True, array_like=True):
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

    classes: dict[str, LearnedClassMessage]
    routes: int
    read: list[str]  # paths of files
    warnings: list[str]


class RejectionMessage(msgspec.Struct, frozen=True, kw_only=True):
    """The result of a compilation that was rejected."""

    refused: list[str]  # reasons
    faults: int | None = None  # number of reasons, including those left out; None: none were left out
