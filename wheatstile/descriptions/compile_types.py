"""Types for the input and the output of the compilation of descriptions. Performs no I/O."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import TypeAlias

from wheatstile.descriptions.condition_parser import Condition
from wheatstile.descriptions.findings import Finding, SourceLocation
from wheatstile.descriptions.model import HTTP_METHODS, Operation, RetrySafety
from wheatstile.descriptions.route_matcher import RouteMatcher
from wheatstile.descriptions.routes import Token, split_path, split_subject
from wheatstile.interface import DeduplicationScope, Idempotency


@dataclass(frozen=True, slots=True)
class ClassPolicy:
    """The retry policy of one service class: the platform's settings and the operator's override."""

    name: str
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_us: int = 0
    client_deadline_us: int = 0  # time after which a client stops waiting for its answer
    override: Idempotency | None = None  # None: the operator's file has no override
    override_location: SourceLocation | None = None


ClassPolicies: TypeAlias = Mapping[str, ClassPolicy]
"""Policies by the name of the class."""


@dataclass(frozen=True, slots=True)
class ClassificationRule:
    """One of the operator's rules. The first rule that matches an operation applies."""

    matches: Condition
    service_class: str
    location: SourceLocation
    idempotency: Idempotency | None = None  # None: the rule declares none


@dataclass(frozen=True, slots=True)
class CompileOptions:
    """Options of a compilation, from the operator's file, the platform's settings and the command line."""

    max_attempts: int  # limit for one request; 1: retries are disabled
    require_class: bool = False  # True if an operation without a class is a conflict
    strict: bool = False  # True if warnings are treated as conflicts


@dataclass(frozen=True, slots=True)
class Route:
    """A route of an operation, with its service class and retry safety after compilation."""

    operation: Operation
    tokens: tuple[Token, ...]
    template: str  # path template, including the path of the server's URL; or subject pattern
    service_class: str  # empty: neither the description nor a rule assigns one
    class_location: SourceLocation | None
    retry_safety: RetrySafety


@dataclass(frozen=True, slots=True)
class CompiledDescriptions:
    """The result of a compilation: routes, class policies and warnings."""

    routes: tuple[Route, ...]
    classes: ClassPolicies  # only classes that have routes
    warnings: tuple[Finding, ...]
    matchers: Mapping[str, RouteMatcher[Route]]  # key: the action of an operation

    def match(self, action: str, target: str) -> list[Route]:
        """Return the routes that match a path or subject, with the most specific one first.

        The action is an HttpMethod or a MessageAction.
        """
        matcher = self.matchers.get(action)
        if matcher is None:
            return []
        tokens = split_path(target) if action in HTTP_METHODS else split_subject(target)
        return [route for _, route in matcher.matches(tokens)]
