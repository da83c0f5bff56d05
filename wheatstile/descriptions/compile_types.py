"""Input and output of the compilation of descriptions. Pure."""

from collections.abc import Mapping
from dataclasses import dataclass

from wheatstile.descriptions.findings import Finding, SourceLocation
from wheatstile.descriptions.language import Condition
from wheatstile.descriptions.model import Operation, RetrySafety
from wheatstile.descriptions.route_matcher import Matcher
from wheatstile.descriptions.routes import Token, split_path
from wheatstile.interface import DeduplicationScope, Idempotency


@dataclass(frozen=True, slots=True)
class ClassPolicy:
    """What holds for one service class: the platform's settings and the operator's override."""

    name: str
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_us: int = 0
    client_deadline_us: int = 0  # clients of this class wait no longer for an answer
    override: Idempotency | None = None  # from the operator's file
    override_location: SourceLocation | None = None


ClassPolicies = Mapping[str, ClassPolicy]


@dataclass(frozen=True, slots=True)
class ClassificationRule:
    """One of the operator's ordered rules; the first that matches an operation applies."""

    matches: Condition
    service_class: str
    location: SourceLocation
    idempotency: Idempotency | None = None


@dataclass(frozen=True, slots=True)
class CompileOptions:
    """What the operator and the platform set for the compilation."""

    max_attempts: int
    require_class: bool = False  # an operation without a class is a conflict
    strict: bool = False  # warnings are conflicts


@dataclass(frozen=True, slots=True)
class Route:
    """One route of an operation, with the class and the retry safety that hold for it."""

    operation: Operation
    tokens: tuple[Token, ...]
    template: str  # includes the path of the server's URL
    service_class: str  # empty: nothing assigns one
    class_location: SourceLocation | None
    retry_safety: RetrySafety


@dataclass(frozen=True, slots=True)
class CompiledDescriptions:
    """All descriptions compiled: routes, resulting class policies and warnings."""

    routes: tuple[Route, ...]
    classes: ClassPolicies  # of the classes that have routes
    warnings: tuple[Finding, ...]
    matchers: Mapping[str, Matcher[Route]]  # by action

    def match(self, action: str, target: str) -> list[Route]:
        """Return the routes that match a concrete path or subject; the first is the one that applies."""
        matcher = self.matchers.get(action)
        if matcher is None:
            return []
        tokens = split_path(target) if action.isupper() else target.split(".")
        return [route for _, route in matcher.matches(tokens)]
