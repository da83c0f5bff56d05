"""Compiles operations to routes with a class and a retry safety, and reports conflicts. Performs no I/O."""

from collections.abc import Sequence
from dataclasses import dataclass
from urllib.parse import urlsplit

from wheatstile.config.violations import suggestion_or_known_names
from wheatstile.descriptions.compile_types import (
    ClassificationRule,
    ClassPolicies,
    ClassPolicy,
    CompileOptions,
    Route,
)
from wheatstile.descriptions.findings import FindingCollector
from wheatstile.descriptions.keywords import IDEMPOTENCY_KEYWORDS
from wheatstile.descriptions.model import (
    AssignedClass,
    Extension,
    Operation,
    OperationKind,
    RetrySafety,
    format_seconds,
)
from wheatstile.descriptions.routes import RouteSyntaxError, Token, path_tokens, subject_tokens
from wheatstile.descriptions.strictness import is_stricter
from wheatstile.interface import Idempotency


def unknown_class_reason(name: str, classes: ClassPolicies) -> str:
    """Return the reason in a finding about a class that is not in the platform's settings."""
    return f'the class "{name}" is not in the settings{suggestion_or_known_names(name, classes)}'


@dataclass(frozen=True, slots=True)
class RouteCompiler:
    """Compiles operations with the operator's rules and the platform's classes."""

    rules: Sequence[ClassificationRule]
    classes: ClassPolicies | None  # None: the platform's classes are not known
    options: CompileOptions
    findings: FindingCollector

    def check_rules(self) -> None:
        """Report each rule whose class is not in the platform's settings."""
        if self.classes is None:
            return
        for rule in self.rules:
            if rule.service_class not in self.classes:
                self.findings.add_conflict(
                    rule.location, unknown_class_reason(rule.service_class, self.classes)
                )

    def routes_of(self, operation: Operation) -> list[Route]:
        """Return the routes of an operation, one for each base path of its servers."""
        rule = next((rule for rule in self.rules if rule.matches(operation)), None)
        assigned = self._assigned_class(operation, rule)
        retry_safety = self._require_window(operation, self._apply_rule(operation, rule))
        if self.classes and assigned.name in self.classes:
            policy = self.classes[assigned.name]
            self._check_window(operation, retry_safety, policy)
            self._check_timeout(operation, policy)
        routes = []
        for template in _templates(operation):
            try:
                tokens = _tokens(operation.kind, template)
            except RouteSyntaxError as error:
                self.findings.add_conflict(operation.location, str(error))
                continue
            routes.append(Route(operation, tokens, template, assigned.name, assigned.location, retry_safety))
        return routes

    def _assigned_class(self, operation: Operation, rule: ClassificationRule | None) -> AssignedClass:
        """Return the class of an operation.

        The class that the description declares takes precedence over the rule's.
        """
        name = operation.service_class
        location = operation.class_location
        if rule and name and rule.service_class != name:
            reason = (
                f'{operation.name}: the description declares the class "{name}", '
                f'but the rule assigns "{rule.service_class}"'
            )
            self.findings.add_conflict(location or operation.location, reason, rule.location)
        if rule and not name:
            name = rule.service_class
            location = rule.location
        # The class that a rule assigns is checked in `check_rules`.
        if name and self.classes is not None and name not in self.classes and location and not rule:
            self.findings.add_conflict(location, unknown_class_reason(name, self.classes))
        if not name:
            add_finding = (
                self.findings.add_conflict if self.options.require_class else self.findings.add_warning
            )
            add_finding(operation.location, f"{operation.name} has no class")
        return AssignedClass(name, location)

    def _apply_rule(self, operation: Operation, rule: ClassificationRule | None) -> RetrySafety:
        """Return the stricter of the declared retry safety and the rule's.

        A rule that is less strict than the declaration is a conflict.
        """
        declared = operation.retry_safety
        if rule is None or rule.idempotency is None:
            return declared
        if is_stricter(declared.idempotency, rule.idempotency):
            reason = (
                f"{operation.name} is {IDEMPOTENCY_KEYWORDS.keyword(declared.idempotency)} "
                f"({declared.reason}), but the rule declares {IDEMPOTENCY_KEYWORDS.keyword(rule.idempotency)}"
            )
            self.findings.add_conflict(declared.location, reason, rule.location)
            return declared
        if is_stricter(rule.idempotency, declared.idempotency):
            return RetrySafety(
                rule.idempotency,
                "the operator's rule is stricter than the description",
                rule.location,
                declared.deduplication_scope,
                declared.deduplication_window_us,
            )
        return declared

    def _require_window(self, operation: Operation, retry_safety: RetrySafety) -> RetrySafety:
        """Return the retry safety, or NON_IDEMPOTENT for an idempotency key without a declared window.

        The time for which servers discard duplicates is then unknown, and a default could be too long.
        """
        has_key = retry_safety.idempotency is Idempotency.IDEMPOTENCY_KEY
        if not has_key or retry_safety.deduplication_window_us:
            return retry_safety
        keyed = IDEMPOTENCY_KEYWORDS.keyword(Idempotency.IDEMPOTENCY_KEY)
        unsafe = IDEMPOTENCY_KEYWORDS.keyword(Idempotency.NON_IDEMPOTENT)
        reason = f"{operation.name} is {keyed} without {Extension.WINDOW_S}, and is treated as {unsafe}"
        self.findings.add_warning(retry_safety.location, reason)
        return RetrySafety(
            Idempotency.NON_IDEMPOTENT, f"{keyed} without a deduplication window", retry_safety.location
        )

    def _check_window(self, operation: Operation, retry_safety: RetrySafety, policy: ClassPolicy) -> None:
        """Report a deduplication window that is shorter than the client deadline of the class."""
        window_us = retry_safety.deduplication_window_us
        deadline_us = policy.client_deadline_us
        has_key = retry_safety.idempotency is Idempotency.IDEMPOTENCY_KEY
        if has_key and 0 < window_us < deadline_us:
            reason = (
                f"the deduplication window of {operation.name}, {format_seconds(window_us)}, is shorter than "
                f'the client deadline of the class "{policy.name}", {format_seconds(deadline_us)}'
            )
            self.findings.add_conflict(retry_safety.location, reason, policy.override_location)

    def _check_timeout(self, operation: Operation, policy: ClassPolicy) -> None:
        """Report a declared timeout that is longer than the client deadline of the class."""
        deadline_us = policy.client_deadline_us
        if operation.timeout_us > deadline_us and operation.timeout_location:
            reason = (
                f"the timeout of {operation.name}, {format_seconds(operation.timeout_us)}, is longer than "
                f'the client deadline of the class "{policy.name}", {format_seconds(deadline_us)}'
            )
            self.findings.add_conflict(operation.timeout_location, reason, policy.override_location)


def _templates(operation: Operation) -> list[str]:
    """Return a route template for each distinct base path of the operation's servers."""
    if operation.kind is not OperationKind.HTTP:
        return [operation.route]
    base_paths = {urlsplit(url).path.rstrip("/") for url in operation.servers} or {""}
    return sorted(base_path + operation.route for base_path in base_paths)


def _tokens(kind: OperationKind, template: str) -> tuple[Token, ...]:
    """Return the tokens of a template. Raises RouteSyntaxError."""
    return path_tokens(template) if kind is OperationKind.HTTP else subject_tokens(template)
