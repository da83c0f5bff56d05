"""Requests to the worker that compiles descriptions, and its results, with conversion to JSON.

Performs no I/O.

The standard library's `json` is used because it preserves lone surrogates. Python represents file names that
are not valid UTF-8 with lone surrogates.
"""

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import TypeAlias

import msgspec

from wheatstile.config.operator import Operator
from wheatstile.config.platform import Config
from wheatstile.descriptions.keywords import IDEMPOTENCY_KEYWORDS, SCOPE_KEYWORDS
from wheatstile.descriptions.worker_messages import (
    ClassSettingsMessage,
    CompiledClassMessage,
    RejectionMessage,
    RequestMessage,
    SummaryMessage,
)
from wheatstile.interface import DeduplicationScope, Idempotency

US_PER_MS = 1000
REJECTION_KEY = "refused"  # distinguishes a RejectionMessage from a SummaryMessage


@dataclass(frozen=True, slots=True)
class ClassSettings:
    """The platform's settings of a service class."""

    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    deduplication_window_us: int
    client_deadline_us: int  # time after which a client stops waiting for its answer; 0: no deadline


@dataclass(frozen=True, slots=True)
class CompiledClass:
    """The retry policy of a service class, compiled from descriptions."""

    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    deduplication_window_us: int


CompiledClasses: TypeAlias = Mapping[str, CompiledClass]
"""Retry policies by the name of the class."""


@dataclass(frozen=True, slots=True, kw_only=True)
class CompileRequest:
    """A request to compile the descriptions that the operator's file lists."""

    operator_path: str  # absolute path of the operator's file
    classes: Mapping[str, ClassSettings]
    settings: Operator
    max_attempts: int

    def encode(self) -> bytes:
        """Return the request as JSON."""
        classes = {name: _encode_settings(settings) for name, settings in self.classes.items()}
        message = RequestMessage(
            operator=self.operator_path,
            classes=classes,
            settings=self.settings,
            max_attempts=self.max_attempts,
        )
        return _to_json(message)

    @classmethod
    def decode(cls, data: bytes) -> "CompileRequest":
        """Return the request that this JSON contains. Raises ValueError."""
        message = msgspec.convert(json.loads(data), RequestMessage)
        return cls(
            operator_path=message.operator,
            classes={name: _decode_settings(settings) for name, settings in message.classes.items()},
            settings=message.settings,
            max_attempts=message.max_attempts,
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class CompilationSummary:
    """The result of a successful compilation."""

    classes: CompiledClasses
    route_count: int
    files: list[str]  # paths of all files that were read, including referenced ones
    warnings: list[str]


@dataclass(frozen=True, slots=True, kw_only=True)
class CompilationRejected:
    """The result of a failed compilation: the reasons why the descriptions were rejected."""

    reasons: list[str]  # may be truncated
    reason_count: int | None = None  # number of reasons before truncation; None: `reasons` is complete

    @property
    def total_reasons(self) -> int:
        """The number of reasons before truncation."""
        return len(self.reasons) if self.reason_count is None else self.reason_count


CompilationResult: TypeAlias = CompilationSummary | CompilationRejected


def encode_result(result: CompilationResult) -> bytes:
    """Return the result as JSON."""
    if isinstance(result, CompilationRejected):
        return _to_json(RejectionMessage(refused=result.reasons, faults=result.reason_count))
    message = SummaryMessage(
        classes={name: _encode_compiled(compiled) for name, compiled in result.classes.items()},
        routes=result.route_count,
        read=result.files,
        warnings=result.warnings,
    )
    return _to_json(message)


def decode_result(data: bytes) -> CompilationResult:
    """Return the result that this JSON contains. Raises ValueError."""
    fields = json.loads(data)
    if isinstance(fields, dict) and REJECTION_KEY in fields:
        rejection = msgspec.convert(fields, RejectionMessage)
        return CompilationRejected(reasons=rejection.refused, reason_count=rejection.faults)
    summary = msgspec.convert(fields, SummaryMessage)
    return CompilationSummary(
        classes={name: _decode_compiled(compiled) for name, compiled in summary.classes.items()},
        route_count=summary.routes,
        files=summary.read,
        warnings=summary.warnings,
    )


def _to_json(message: msgspec.Struct) -> bytes:
    return json.dumps(msgspec.to_builtins(message)).encode()


def _encode_settings(settings: ClassSettings) -> ClassSettingsMessage:
    return ClassSettingsMessage(
        IDEMPOTENCY_KEYWORDS.keyword(settings.idempotency),
        SCOPE_KEYWORDS.keyword(settings.deduplication_scope),
        settings.deduplication_window_us,
        settings.client_deadline_us,
    )


def _decode_settings(message: ClassSettingsMessage) -> ClassSettings:
    """Return the settings that a message contains. Raises UnknownKeywordError, which is a ValueError."""
    return ClassSettings(
        IDEMPOTENCY_KEYWORDS.member(message.idempotency),
        SCOPE_KEYWORDS.member(message.scope),
        message.window_us,
        message.client_deadline_us,
    )


def _encode_compiled(compiled: CompiledClass) -> CompiledClassMessage:
    return CompiledClassMessage(
        IDEMPOTENCY_KEYWORDS.keyword(compiled.idempotency),
        SCOPE_KEYWORDS.keyword(compiled.deduplication_scope),
        compiled.deduplication_window_us,
    )


def _decode_compiled(message: CompiledClassMessage) -> CompiledClass:
    """Return the class that a message contains. Raises UnknownKeywordError, which is a ValueError."""
    return CompiledClass(
        IDEMPOTENCY_KEYWORDS.member(message.idempotency),
        SCOPE_KEYWORDS.member(message.scope),
        message.window_us,
    )


def class_settings(config: Config) -> dict[str, ClassSettings]:
    """Return the platform's settings of each class, by name."""
    deadlines_ms = config.client_limits.deadlines_ms
    return {
        name: ClassSettings(
            service_class.idempotency,
            service_class.deduplication_scope,
            service_class.deduplication_window_us,
            deadlines_ms.get(name, 0) * US_PER_MS,
        )
        for name, service_class in config.settings.classes.items()
    }
