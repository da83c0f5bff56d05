"""Derives the retry policy of each service class from the routes that belong to it. Pure."""

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
    """Compiles class policies from the platform's classes and their routes."""

    classes: ClassPolicies | None  # None: the platform's classes are not known
    options: CompileOptions
    findings: FindingCollector

    def compile(self, routes: Iterable[Route]) -> dict[str, ClassPolicy]:
        """Return the policy of each class that has routes, tightened by them."""
        routes_by_class: dict[str, list[Route]] = {}
        for route in routes:
            if route.service_class:
                routes_by_class.setdefault(route.service_class, []).append(route)
        policies = {}
        for name, members in routes_by_class.items():
            policy = (self.classes or {}).get(name) or ClassPolicy(name)
            self._check(policy, members)
            policies[name] = tightened(policy, members)
        return policies

    def _check(self, policy: ClassPolicy, members: Sequence[Route]) -> None:
        """Report routes that contradict their class or each other."""
        strictest = max(members, key=_strictness)
        loosest = min(members, key=_strictness)
        idempotency = strictest.retry_safety.idempotency
        if policy.override and is_stricter(idempotency, policy.override):
            self._report_loose_override(policy, policy.override, strictest)
        elif self._mixes_unsafe(policy, strictest, loosest):
            self._report_mixture(policy, strictest, loosest)
        elif is_stricter(idempotency, policy.idempotency):
            self._report_tightening(policy, strictest)

    def _mixes_unsafe(self, policy: ClassPolicy, strictest: Route, loosest: Route) -> bool:
        """Return whether one non-idempotent route would forbid the retries of other routes of the class."""
        return (
            self.options.max_attempts > 1
            and policy.override is not Idempotency.NON_IDEMPOTENT
            and strictest.retry_safety.idempotency is Idempotency.NON_IDEMPOTENT
            and loosest.retry_safety.idempotency is not Idempotency.NON_IDEMPOTENT
        )

    def _report_loose_override(self, policy: ClassPolicy, override: Idempotency, strictest: Route) -> None:
        safety = strictest.retry_safety
        reason = (
            f"{strictest.operation.name} is {_keyword(safety.idempotency)} ({safety.reason}), and the "
            f'class "{policy.name}" is told to be {_keyword(override)}'
        )
        self.findings.conflict(safety.location, reason, policy.override_location)

    def _report_mixture(self, policy: ClassPolicy, strictest: Route, loosest: Route) -> None:
        reason = (
            f'the class "{policy.name}" mixes {strictest.operation.name} '
            f"({_keyword(strictest.retry_safety.idempotency)}) with {loosest.operation.name} "
            f"({_keyword(loosest.retry_safety.idempotency)}), and attempts after a possible run are on: "
            f"give them two classes, or say that the class is {_keyword(Idempotency.NON_IDEMPOTENT)}"
        )
        self.findings.conflict(strictest.operation.location, reason, loosest.operation.location)

    def _report_tightening(self, policy: ClassPolicy, strictest: Route) -> None:
        safety = strictest.retry_safety
        reason = (
            f'{strictest.operation.name} changes the class "{policy.name}" '
            f"from {_keyword(policy.idempotency)} to {_keyword(safety.idempotency)}"
        )
        self.findings.warn(safety.location, reason)


def _strictness(route: Route) -> tuple[int, SourceLocation]:
    """Return a key that is greater for stricter routes, and by location among equals."""
    return IDEMPOTENCY_STRICTNESS[route.retry_safety.idempotency], route.operation.location


def tightened(policy: ClassPolicy, members: Iterable[Route]) -> ClassPolicy:
    """Return the policy with the strictest idempotency, the narrowest scope and the shortest window."""
    idempotency = policy.idempotency
    if policy.override:
        idempotency = stricter(idempotency, policy.override)
    scope = policy.deduplication_scope
    windows_us = []
    if idempotency is Idempotency.IDEMPOTENCY_KEY:
        windows_us.append(policy.deduplication_window_us)
    for route in members:
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
