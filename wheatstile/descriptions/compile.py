"""Compiles descriptions with the operator's rules and the platform's classes. Performs no I/O.

If two sources contradict each other, the descriptions are rejected with a finding that names both locations.
If one source is only stricter than the other, the stricter one applies: the idempotency that allows fewer
retries, the narrower deduplication scope, and the shorter deduplication window.
"""

from collections.abc import Iterable

from wheatstile.descriptions.class_compiler import ClassCompiler
from wheatstile.descriptions.compile_types import (
    ClassificationRule,
    ClassPolicies,
    CompiledDescriptions,
    CompileOptions,
    Route,
)
from wheatstile.descriptions.findings import (
    FindingCollector,
    InvalidDescriptionError,
    Severity,
    sorted_by_location,
)
from wheatstile.descriptions.model import Description
from wheatstile.descriptions.route_compiler import RouteCompiler
from wheatstile.descriptions.route_index import build_matchers


def compile_descriptions(
    descriptions: Iterable[Description],
    rules: Iterable[ClassificationRule],
    classes: ClassPolicies | None,
    options: CompileOptions,
) -> CompiledDescriptions:
    """Compile all descriptions together.

    `classes` are the platform's classes. If they are not known, it is None, and class names are not checked.
    Raises InvalidDescriptionError with every conflict, sorted by location.
    """
    findings = FindingCollector()
    route_compiler = RouteCompiler(list(rules), classes, options, findings)
    route_compiler.check_rules()
    routes: list[Route] = []
    for description in sorted(descriptions, key=lambda description: description.file):
        for operation in description.operations:
            routes += route_compiler.routes_of(operation)
    matchers = build_matchers(routes, findings)
    policies = ClassCompiler(classes, options, findings).compile(routes)
    if options.strict:
        findings.promote_warnings()
    if conflicts := findings.with_severity(Severity.CONFLICT):
        raise InvalidDescriptionError(sorted_by_location(conflicts))
    return CompiledDescriptions(
        tuple(routes), policies, tuple(findings.with_severity(Severity.WARNING)), matchers
    )
