"""Messages between the balancer and the process that compiles descriptions, as JSON.

The JSON key of a field is given where it differs from the field's name; a class is a list of its fields. The
standard library's JSON is used since it keeps lone surrogates, which stand for undecodable bytes of file
names.
"""

import json
from typing import TypeAlias

import msgspec

from wheatstile.config.operator import Operator
from wheatstile.config.platform import Config
from wheatstile.interface import DeduplicationScope, Idempotency


class ClassSettings(msgspec.Struct, frozen=True, array_like=True):
    """What the platform's configuration says of a service class."""

    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    deduplication_window_us: int
    client_deadline_us: int  # 0: the clients have none


class LearnedClass(msgspec.Struct, frozen=True, array_like=True):
    """What the descriptions say of a service class."""

    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    deduplication_window_us: int


LearnedClasses: TypeAlias = dict[str, LearnedClass]


class CompileRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Asks the worker to compile the descriptions that the operator's file names."""

    operator_path: str = msgspec.field(name="operator")  # absolute
    classes: dict[str, ClassSettings]
    settings: Operator
    max_attempts: int

    def encode(self) -> bytes:
        """Return the request as JSON."""
        return json.dumps(msgspec.to_builtins(self)).encode()

    @classmethod
    def decode(cls, data: bytes) -> "CompileRequest":
        """Return the request in this JSON. Raises ValueError."""
        return msgspec.convert(json.loads(data), cls)


class CompilationSummary(msgspec.Struct, frozen=True, kw_only=True):
    """The descriptions hold: what they say of each class, and what was read for it."""

    classes: LearnedClasses
    route_count: int = msgspec.field(name="routes")
    files: list[str] = msgspec.field(name="read")
    warnings: list[str]


class CompilationRejected(msgspec.Struct, frozen=True, kw_only=True):
    """The descriptions cannot be used."""

    reasons: list[str] = msgspec.field(name="refused")  # the first ones
    reason_count: int | None = msgspec.field(name="faults", default=None)  # all; None: those in `reasons`

    @property
    def total_reasons(self) -> int:
        """How many reasons there are, also those that are not in `reasons`."""
        return len(self.reasons) if self.reason_count is None else self.reason_count


CompilationResult: TypeAlias = CompilationSummary | CompilationRejected


def encode_result(result: CompilationResult) -> bytes:
    """Return a result as JSON."""
    return json.dumps(msgspec.to_builtins(result)).encode()


def decode_result(data: bytes) -> CompilationResult:
    """Return the result in this JSON. Raises ValueError."""
    fields = json.loads(data)
    if isinstance(fields, dict) and "refused" in fields:
        return msgspec.convert(fields, CompilationRejected)
    return msgspec.convert(fields, CompilationSummary)


def class_settings(config: Config) -> dict[str, ClassSettings]:
    """Return what the platform's configuration says of each class, by name."""
    deadlines_ms = config.client_limits.deadlines_ms
    return {
        name: ClassSettings(
            service_class.idempotency,
            service_class.deduplication_scope,
            service_class.deduplication_window_us,
            deadlines_ms.get(name, 0) * 1000,
        )
        for name, service_class in config.settings.classes.items()
    }
