"""Builds one route matcher for each action, and reports routes that contradict each other. Pure."""

from collections.abc import Iterable

from wheatstile.descriptions.compile_types import Route
from wheatstile.descriptions.findings import FindingCollector
from wheatstile.descriptions.route_matcher import Matcher
from wheatstile.descriptions.routes import Relation, relation


def build_matchers(routes: Iterable[Route], findings: FindingCollector) -> dict[str, Matcher[Route]]:
    """Return a matcher for each action.

    Reports a conflict for routes that overlap if neither is more specific.
    """
    matchers: dict[str, Matcher[Route]] = {}
    for route in sorted(routes, key=lambda route: (route.operation.location, route.template)):
        matcher = matchers.setdefault(route.operation.action, Matcher())
        for tokens, other in list(matcher.overlapping(route.tokens)):
            match relation(route.tokens, tokens):
                case Relation.SAME:
                    _report_same(route, other, findings)
                case Relation.CROSSING:
                    _report_crossing(route, other, findings)
        matcher.add(route.tokens, route)
    return matchers


def _report_crossing(route: Route, other: Route, findings: FindingCollector) -> None:
    names = f"{route.operation.action} {route.template} and {other.template}"
    reason = f"{names} match the same, and neither is more specific"
    findings.conflict(route.operation.location, reason, other.operation.location)


def _report_same(route: Route, other: Route, findings: FindingCollector) -> None:
    """Report two routes that match the same targets.

    They conflict if their classes differ or if they are in one file. Otherwise the stricter one applies.
    """
    here = route.operation.location
    there = other.operation.location
    name = f"{route.operation.action} {route.template}"
    if route.service_class and other.service_class and route.service_class != other.service_class:
        reason = f'{name} is given the classes "{route.service_class}" and "{other.service_class}"'
        findings.conflict(route.class_location or here, reason, other.class_location or there)
    elif here.file == there.file:
        findings.conflict(here, f"{name} and {other.template} match the same", there)
    else:
        findings.warn(here, f"{name} is described twice; the stricter description applies", there)
