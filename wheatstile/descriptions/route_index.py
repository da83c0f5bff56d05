"""Builds one route matcher for each action, and reports conflicting routes. Performs no I/O."""

from collections.abc import Iterable

from wheatstile.descriptions.compile_types import Route
from wheatstile.descriptions.findings import FindingCollector
from wheatstile.descriptions.route_matcher import RouteMatcher
from wheatstile.descriptions.routes import Relation, relation


def build_matchers(routes: Iterable[Route], findings: FindingCollector) -> dict[str, RouteMatcher[Route]]:
    """Return a matcher for each action.

    Overlapping routes are reported as a conflict if neither is more specific.
    """
    matchers: dict[str, RouteMatcher[Route]] = {}
    for route in sorted(routes, key=lambda route: (route.operation.location, route.template)):
        matcher = matchers.setdefault(route.operation.action, RouteMatcher())
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
    reason = f"{names} overlap, and neither is more specific"
    findings.add_conflict(route.operation.location, reason, other.operation.location)


def _report_same(route: Route, other: Route, findings: FindingCollector) -> None:
    """Report two routes that match the same targets.

    They conflict if their classes differ or if they are in the same file. Otherwise the stricter one applies.
    """
    location = route.operation.location
    other_location = other.operation.location
    name = f"{route.operation.action} {route.template}"
    if route.service_class and other.service_class and route.service_class != other.service_class:
        reason = f'{name} is assigned to two classes, "{route.service_class}" and "{other.service_class}"'
        findings.add_conflict(
            route.class_location or location, reason, other.class_location or other_location
        )
    elif location.file == other_location.file:
        findings.add_conflict(location, f"{name} and {other.template} match the same targets", other_location)
    else:
        findings.add_warning(
            location, f"{name} is described twice; the stricter description applies", other_location
        )
