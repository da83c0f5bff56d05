"""Derives the retry policy of each service class from the routes of the class. Performs no I/O."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from wheatstile.descriptions.compile_types import ClassPolicies, ClassPolicy, CompileOptions, Route
from wheatstile.descriptions.findings import FindingCollector, SourceLocation
from wheatstile.descriptions.keywords import IDEMPOTENCY_KEYWORDS
from wheatstile.descriptions.strictness import IDEMPOTENCY_STRICTNESS, is_stricter, narrower, stricter
from wheatstile.interface import Idempotency

_keyword = IDEMPOTENCY_KEYWORDS.keyword


@dataclass(frozen=True, slots=True)
class ClassCompiler:
    """Compiles the policies of classes from the platform's settings and the routes of each class."""

    classes: ClassPolicies | None  # None: the platform's classes are not known
    options: CompileOptions
    findings: FindingCollector

    def compile(self, routes: Iterable[Route]) -> dict[str, ClassPolicy]:
        """Return the policy of each class that has routes. The routes can only make it stricter."""
        routes_by_class: dict[str, list[Route]] = {}
        for route in routes:
            if route.service_class:
                routes_by_class.setdefault(route.service_class, []).append(route)
        policies = {}
        for name, class_routes in routes_by_class.items():
            policy = (self.classes or {}).get(name) or ClassPolicy(name)
            self._check(policy, class_routes)
            policies[name] = tightened(policy, class_routes)
        return policies

    def _check(self, policy: ClassPolicy, class_routes: Sequence[Route]) -> None:
        """Report routes that contradict the class's policy or each other."""
        strictest = max(class_routes, key=_strictness)
        loosest = min(class_routes, key=_strictness)
        idempotency = strictest.retry_safety.idempotency
        if policy.override and is_stricter(idempotency, policy.override):
            self._report_loose_override(policy, policy.override, strictest)
        elif self._is_mixed(policy, strictest, loosest):
            self._report_mixed_class(policy, strictest, loosest)
        elif is_stricter(idempotency, policy.idempotency):
            self._report_tightening(policy, strictest)

    def _is_mixed(self, policy: ClassPolicy, strictest: Route, loosest: Route) -> bool:
        """Return whether a non-idempotent route would disable retries for the class's other routes."""
        return (
            self.options.max_attempts > 1
            and policy.override is not Idempotency.NON_IDEMPOTENT
            and strictest.retry_safety.idempotency is Idempotency.NON_IDEMPOTENT
            and loosest.retry_safety.idempotency is not Idempotency.NON_IDEMPOTENT
        )

    def _report_loose_override(self, policy: ClassPolicy, override: Idempotency, strictest: Route) -> None:
        safety = strictest.retry_safety
        reason = (
            f"{strictest.operation.name} is {_keyword(safety.idempotency)} ({safety.reason}), but the "
            f'operator overrides the class "{policy.name}" as {_keyword(override)}'
        )
        self.findings.add_conflict(safety.location, reason, policy.override_location)

    def _report_mixed_class(self, policy: ClassPolicy, strictest: Route, loosest: Route) -> None:
        reason = (
            f'the class "{policy.name}" mixes {strictest.operation.name} '
            f"({_keyword(strictest.retry_safety.idempotency)}) with {loosest.operation.name} "
            f"({_keyword(loosest.retry_safety.idempotency)}), and retries are enabled: "
            f"assign them to two classes, or override the class as {_keyword(Idempotency.NON_IDEMPOTENT)}"
        )
        self.findings.add_conflict(strictest.operation.location, reason, loosest.operation.location)

    def _report_tightening(self, policy: ClassPolicy, strictest: Route) -> None:
        safety = strictest.retry_safety
        reason = (
            f'{strictest.operation.name} changes the class "{policy.name}" '
            f"from {_keyword(policy.idempotency)} to {_keyword(safety.idempotency)}"
        )
        self.findings.add_warning(safety.location, reason)


def _strictness(route: Route) -> tuple[int, SourceLocation]:
    """Return a sort key: first the strictness of the route, then its location."""
    return IDEMPOTENCY_STRICTNESS[route.retry_safety.idempotency], route.operation.location


def tightened(policy: ClassPolicy, class_routes: Iterable[Route]) -> ClassPolicy:
    """Return the policy, tightened by its override and by the routes of the class.

    The result has the strictest idempotency, the narrowest scope and the shortest window of all of these.
    """
    idempotency = policy.idempotency
    if policy.override:
        idempotency = stricter(idempotency, policy.override)
    scope = policy.deduplication_scope
    windows_us = []
    if idempotency is Idempotency.IDEMPOTENCY_KEY:
        windows_us.append(policy.deduplication_window_us)
    for route in class_routes:
        safety = route.retry_safety
        idempotency = stricter(idempotency, safety.idempotency)
        if safety.idempotency is Idempotency.IDEMPOTENCY_KEY:
            windows_us.append(safety.deduplication_window_us)
            scope = narrower(scope, safety.deduplication_scope)
    return replace(
        policy,
        idempotency=idempotency,
        deduplication_scope=scope,
        deduplication_window_us=min(windows_us, default=policy.deduplication_window_us),
    )
