"""Compiles one operation to its routes: its class, its retry safety, and what contradicts them. Pure."""

from collections.abc import Sequence
from dataclasses import dataclass
from urllib.parse import urlsplit

from wheatstile.config.violations import nearest
from wheatstile.descriptions.compile_types import (
    ClassificationRule,
    ClassPolicies,
    ClassPolicy,
    CompileOptions,
    Route,
)
from wheatstile.descriptions.findings import FindingCollector, SourceLocation
from wheatstile.descriptions.model import (
    MICROSECONDS_PER_SECOND,
    Operation,
    OperationKind,
    RetrySafety,
    is_stricter,
)
from wheatstile.descriptions.routes import RouteSyntaxError, path_tokens, subject_tokens
from wheatstile.interface import Idempotency


def unknown_class(name: str, classes: ClassPolicies) -> str:
    """Return the reason given for a class that the platform's settings do not have."""
    return f'the class "{name}" is not in the settings{nearest(name, classes)}'


@dataclass(frozen=True, slots=True)
class RouteCompiler:
    """Compiles operations by the operator's rules and the platform's classes (None: not known)."""

    rules: Sequence[ClassificationRule]
    classes: ClassPolicies | None
    options: CompileOptions
    findings: FindingCollector

    def check_rules(self) -> None:
        """Report each rule whose class does not exist."""
        if self.classes is None:
            return
        for rule in self.rules:
            if rule.service_class not in self.classes:
                self.findings.conflict(rule.location, unknown_class(rule.service_class, self.classes))

    def routes_of(self, operation: Operation) -> list[Route]:
        """Return the routes of an operation, one for each path of its servers."""
        rule = next((rule for rule in self.rules if rule.matches(operation)), None)
        service_class, class_location = self._service_class(operation, rule)
        retry_safety = self._with_window(operation, self._by_rule(operation, rule))
        if self.classes and service_class in self.classes:
            self._check_deadline(operation, retry_safety, self.classes[service_class])
        routes = []
        for template in _templates(operation):
            parse = path_tokens if operation.kind is OperationKind.HTTP else subject_tokens
            try:
                tokens = parse(template)
            except RouteSyntaxError as error:
                self.findings.conflict(operation.location, str(error))
                continue
            routes.append(Route(operation, tokens, template, service_class, class_location, retry_safety))
        return routes

    def _service_class(
        self, operation: Operation, rule: ClassificationRule | None
    ) -> tuple[str, SourceLocation | None]:
        """Return the class of an operation and where it was assigned; the description goes before a rule."""
        name = operation.service_class
        location = operation.class_location
        if rule and name and rule.service_class != name:
            reason = f'{operation.name}: the description says class "{name}", the rule "{rule.service_class}"'
            self.findings.conflict(location or operation.location, reason, rule.location)
        if rule and not name:
            name = rule.service_class
            location = rule.location
        # The class of a rule has been checked with the rule.
        if name and self.classes is not None and name not in self.classes and location and not rule:
            self.findings.conflict(location, unknown_class(name, self.classes))
        if not name:
            report = self.findings.conflict if self.options.require_class else self.findings.warn
            report(operation.location, f"{operation.name} has no class")
        return name, location

    def _by_rule(self, operation: Operation, rule: ClassificationRule | None) -> RetrySafety:
        """Apply the rule to the retry safety: a stricter rule holds, a looser one is a conflict."""
        declared = operation.retry_safety
        if rule is None or rule.idempotency is None:
            return declared
        if is_stricter(declared.idempotency, rule.idempotency):
            reason = (
                f"{operation.name} is {declared.idempotency} ({declared.reason}), "
                f"and the rule says {rule.idempotency}"
            )
            self.findings.conflict(declared.location, reason, rule.location)
        elif is_stricter(rule.idempotency, declared.idempotency):
            return RetrySafety(
                rule.idempotency,
                "a rule says so, which is tighter",
                rule.location,
                declared.deduplication_scope,
                declared.deduplication_window_us,
            )
        return declared

    def _with_window(self, operation: Operation, retry_safety: RetrySafety) -> RetrySafety:
        """Count an idempotency key without a window as unsafe, since any window would be a guess."""
        if (
            retry_safety.idempotency is not Idempotency.IDEMPOTENCY_KEY
            or retry_safety.deduplication_window_us
        ):
            return retry_safety
        reason = (
            f"{operation.name} is keyed, but for how long a repeat is known is not told: counted as unsafe"
        )
        self.findings.warn(retry_safety.location, reason)
        return RetrySafety(Idempotency.NON_IDEMPOTENT, "keyed without a window", retry_safety.location)

    def _check_deadline(self, operation: Operation, retry_safety: RetrySafety, policy: ClassPolicy) -> None:
        """Report times that the deadline of the class's clients does not leave room for."""
        window_us = retry_safety.deduplication_window_us
        deadline_us = policy.client_deadline_us
        has_key = retry_safety.idempotency is Idempotency.IDEMPOTENCY_KEY
        if has_key and 0 < window_us < deadline_us:
            reason = (
                f"{operation.name}: a repeat is known for {_seconds(window_us)} s, and the class "
                f'"{policy.name}" tries again for up to {_seconds(deadline_us)} s'
            )
            self.findings.conflict(retry_safety.location, reason, policy.override_location)
        if operation.timeout_us > deadline_us and operation.timeout_location:
            reason = (
                f"{operation.name} takes up to {_seconds(operation.timeout_us)} s, and clients of the "
                f'class "{policy.name}" give up after {_seconds(deadline_us)} s'
            )
            self.findings.conflict(operation.timeout_location, reason, policy.override_location)


def _seconds(microseconds: int) -> str:
    return f"{microseconds / MICROSECONDS_PER_SECOND:g}"


def _templates(operation: Operation) -> list[str]:
    """Return the route below the path of each of its servers; servers that differ by host alone share one."""
    if operation.kind is not OperationKind.HTTP:
        return [operation.route]
    base_paths = {urlsplit(url).path.rstrip("/") for url in operation.servers} or {""}
    return sorted(base_path + operation.route for base_path in base_paths)
