"""Requests to the process that compiles descriptions, and its results, with their conversion to JSON. Pure.

The standard library's JSON is used because it keeps lone surrogates, which Python uses for file names that
are not valid UTF-8.
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
    LearnedClassMessage,
    RejectionMessage,
    RequestMessage,
    SummaryMessage,
)
from wheatstile.interface import DeduplicationScope, Idempotency

MICROSECONDS_PER_MILLISECOND = 1000
REJECTION_KEY = "refused"  # key that only a RejectionMessage has


@dataclass(frozen=True, slots=True)
class ClassSettings:
    """The platform's configuration of a service class."""

    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    deduplication_window_us: int
    client_deadline_us: int  # 0: clients have no deadline


@dataclass(frozen=True, slots=True)
class LearnedClass:
    """The retry policy of a service class after compilation of the descriptions."""

    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    deduplication_window_us: int


LearnedClasses: TypeAlias = Mapping[str, LearnedClass]
"""Retry policies by the name of the class."""


@dataclass(frozen=True, slots=True, kw_only=True)
class CompileRequest:
    """Asks the worker to compile the descriptions that the operator's file names."""

    operator_path: str  # absolute
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
        """Return the request in this JSON. Raises ValueError."""
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

    classes: LearnedClasses
    route_count: int
    files: list[str]  # paths of all files that were read, including referenced ones
    warnings: list[str]


@dataclass(frozen=True, slots=True, kw_only=True)
class CompilationRejected:
    """The reasons why descriptions cannot be used."""

    reasons: list[str]  # the first ones, if there are many
    reason_count: int | None = None  # number of all reasons; None: as many as in `reasons`

    @property
    def total_reasons(self) -> int:
        """The number of reasons, including those that `reasons` leaves out."""
        return len(self.reasons) if self.reason_count is None else self.reason_count


CompilationResult: TypeAlias = CompilationSummary | CompilationRejected


def encode_result(result: CompilationResult) -> bytes:
    """Return a result as JSON."""
    if isinstance(result, CompilationRejected):
        return _to_json(RejectionMessage(refused=result.reasons, faults=result.reason_count))
    message = SummaryMessage(
        classes={name: _encode_learned(learned) for name, learned in result.classes.items()},
        routes=result.route_count,
        read=result.files,
        warnings=result.warnings,
    )
    return _to_json(message)


def decode_result(data: bytes) -> CompilationResult:
    """Return the result in this JSON. Raises ValueError."""
    fields = json.loads(data)
    if isinstance(fields, dict) and REJECTION_KEY in fields:
        rejection = msgspec.convert(fields, RejectionMessage)
        return CompilationRejected(reasons=rejection.refused, reason_count=rejection.faults)
    summary = msgspec.convert(fields, SummaryMessage)
    return CompilationSummary(
        classes={name: _decode_learned(learned) for name, learned in summary.classes.items()},
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
    """Return the settings in a message. Raises UnknownKeywordError, which is a ValueError."""
    return ClassSettings(
        IDEMPOTENCY_KEYWORDS.member(message.idempotency),
        SCOPE_KEYWORDS.member(message.scope),
        message.window_us,
        message.client_deadline_us,
    )


def _encode_learned(learned: LearnedClass) -> LearnedClassMessage:
    return LearnedClassMessage(
        IDEMPOTENCY_KEYWORDS.keyword(learned.idempotency),
        SCOPE_KEYWORDS.keyword(learned.deduplication_scope),
        learned.deduplication_window_us,
    )


def _decode_learned(message: LearnedClassMessage) -> LearnedClass:
    """Return the class in a message. Raises UnknownKeywordError, which is a ValueError."""
    return LearnedClass(
        IDEMPOTENCY_KEYWORDS.member(message.idempotency),
        SCOPE_KEYWORDS.member(message.scope),
        message.window_us,
    )


def class_settings(config: Config) -> dict[str, ClassSettings]:
    """Return the platform's configuration of each class, by name."""
    deadlines_ms = config.client_limits.deadlines_ms
    return {
        name: ClassSettings(
            service_class.idempotency,
            service_class.deduplication_scope,
            service_class.deduplication_window_us,
            deadlines_ms.get(name, 0) * MICROSECONDS_PER_MILLISECOND,
        )
        for name, service_class in config.settings.classes.items()
    }
