"""Descriptions and the operator's word compiled: routes and classes, and what may be repeated. Pure.

Nothing is guessed. Where two say different things of one matter, both places are told and nothing is
taken. Where one only says more than the other, the tighter holds: unsafe before keyed before safe, the
narrower scope, the shorter window.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from urllib.parse import urlsplit

from wheatstile.config.violations import nearest
from wheatstile.descriptions.language import Condition
from wheatstile.descriptions.model import (
    NARROWER,
    TIGHTER,
    Description,
    DescriptionError,
    Finding,
    Operation,
    Place,
    Repeat,
    Verdict,
)
from wheatstile.descriptions.routes import Matcher, Token, path_tokens, relation, split_path, subject_tokens


@dataclass(frozen=True, slots=True)
class ClassFacts:
    """What the platform and the operator say of one class. Times in microseconds."""

    name: str
    repeat: Repeat
    scope: str
    window: int
    patience: int  # a client of this class waits so long at most
    told: Repeat | None = None  # the operator's own word on it, and where
    told_place: Place | None = None


@dataclass(frozen=True, slots=True)
class Rule:
    """One of the operator's ordered rules; the first that fits counts."""

    fits: Condition
    service_class: str
    place: Place
    repeat: Repeat | None = None


@dataclass(frozen=True, slots=True)
class Options:
    max_attempts: int
    require_class: bool = False
    strict: bool = False


@dataclass(frozen=True, slots=True)
class Route:
    """One route, the operation that it belongs to, and what was made of it."""

    operation: Operation
    tokens: tuple[Token, ...]
    template: str  # with the path of its server, where that has one
    service_class: str  # empty: none was given
    class_place: Place | None
    verdict: Verdict


@dataclass(frozen=True, slots=True)
class Compiled:
    routes: tuple[Route, ...]
    classes: Mapping[str, ClassFacts]  # as they hold from now on
    warnings: tuple[Finding, ...]
    matchers: Mapping[str, Matcher[Route]]  # by action

    def match(self, action: str, text: str) -> list[Route]:
        """The routes that match a concrete path or subject, the one that is taken first."""
        matcher = self.matchers.get(action)
        if matcher is None:
            return []
        found = split_path(text) if action.isupper() else text.split(".")
        return [route for _, route in matcher.matches(found)]


def compiled(
    descriptions: Iterable[Description],
    rules: Iterable[Rule],
    classes: Mapping[str, ClassFacts] | None,
    options: Options,
) -> Compiled:
    """Compile. classes: None where nobody knows them, so that nothing is held against them.

    Raises DescriptionError with every conflict found, in the order of their places.
    """
    found: list[Finding] = []
    ordered = sorted(descriptions, key=lambda one: one.file)
    routes: list[Route] = []
    rules = list(rules)
    for rule in rules:
        if classes is not None and rule.service_class not in classes:
            found.append(Finding(rule.place, _unknown(rule.service_class, classes)))
    for description in ordered:
        for operation in description.operations:
            routes += _routes(operation, rules, classes, options, found)
    matchers = _matchers(routes, found)
    held = _classes(routes, classes, options, found)
    if options.strict:
        found = [Finding(one.place, one.reason, one.against) for one in found]
    conflicts = [one for one in found if one.level == "conflict"]
    if conflicts:
        raise DescriptionError(sorted(set(conflicts), key=lambda one: (one.place, one.reason)))
    return Compiled(tuple(routes), held, tuple(one for one in found if one.level == "warning"), matchers)


def _unknown(name: str, classes: Mapping[str, ClassFacts]) -> str:
    return f'the class "{name}" is not in the settings{nearest(name, classes)}'


def _routes(
    operation: Operation,
    rules: list[Rule],
    classes: Mapping[str, ClassFacts] | None,
    options: Options,
    found: list[Finding],
) -> list[Route]:
    rule = next((rule for rule in rules if rule.fits(operation)), None)
    name, place = operation.service_class, operation.class_place
    if rule and name and rule.service_class != name:
        reason = f'{operation.name}: the description says class "{name}", the rule "{rule.service_class}"'
        found.append(Finding(place or operation.place, reason, rule.place))
    if rule and not name:
        name, place = rule.service_class, rule.place
    if name and classes is not None and name not in classes and place is not None and rule is None:
        found.append(Finding(place, _unknown(name, classes)))
    if not name:
        level = "conflict" if options.require_class else "warning"
        found.append(Finding(operation.place, f"{operation.name} has no class", None, level))  # type: ignore[arg-type]
    verdict = operation.verdict
    if rule and rule.repeat and TIGHTER[rule.repeat] < TIGHTER[verdict.repeat]:
        reason = f"{operation.name} is {verdict.repeat} ({verdict.why}), and the rule says {rule.repeat}"
        found.append(Finding(verdict.place, reason, rule.place))
    elif rule and rule.repeat and TIGHTER[rule.repeat] > TIGHTER[verdict.repeat]:
        verdict = Verdict(
            rule.repeat, "a rule says so, which is tighter", rule.place, verdict.scope, verdict.window
        )
    if verdict.repeat == "keyed" and not verdict.window:
        reason = (
            f"{operation.name} is keyed, but for how long a repeat is known is not told: counted as unsafe"
        )
        found.append(Finding(verdict.place, reason, None, "warning"))
        verdict = Verdict("unsafe", "keyed without a window", verdict.place)
    _patience(operation, verdict, classes.get(name) if classes and name else None, found)
    made = []
    for template in _templates(operation):
        try:
            tokens = path_tokens(template) if operation.kind == "http" else subject_tokens(template)
        except ValueError as error:
            found.append(Finding(operation.place, str(error)))
            continue
        made.append(Route(operation, tokens, template, name, place, verdict))
    return made


def _patience(operation: Operation, verdict: Verdict, facts: ClassFacts | None, found: list[Finding]) -> None:
    """Times that the class's clients do not leave room for."""
    if facts is None:
        return
    if verdict.repeat == "keyed" and 0 < verdict.window < facts.patience:
        reason = (
            f"{operation.name}: a repeat is known for {verdict.window / 1e6:g} s, and the class "
            f'"{facts.name}" tries again for up to {facts.patience / 1e6:g} s'
        )
        found.append(Finding(verdict.place, reason, facts.told_place))
    if operation.timeout > facts.patience and operation.timeout_place:
        reason = (
            f"{operation.name} takes up to {operation.timeout / 1e6:g} s, and clients of the class "
            f'"{facts.name}" give up after {facts.patience / 1e6:g} s'
        )
        found.append(Finding(operation.timeout_place, reason, facts.told_place))


def _templates(operation: Operation) -> list[str]:
    """The route under each of its servers' paths; hosts are not told apart."""
    if operation.kind != "http":
        return [operation.route]
    bases = {urlsplit(url).path.rstrip("/") for url in operation.servers} or {""}
    return sorted(base + operation.route for base in bases)


def _matchers(routes: list[Route], found: list[Finding]) -> dict[str, Matcher[Route]]:
    """Matchers by action; routes of one action that overlap with neither more specific are conflicts."""
    matchers: dict[str, Matcher[Route]] = {}
    for route in sorted(routes, key=lambda one: (one.operation.place, one.template)):
        matcher = matchers.setdefault(route.operation.action, Matcher())
        for tokens, other in list(matcher.meeting(route.tokens)):
            kind = relation(route.tokens, tokens)
            if kind == "same":
                _same_route(route, other, found)
            elif kind == "crossing":
                names = f"{route.operation.action} {route.template} and {other.template}"
                reason = f"{names} match the same, and neither is more specific"
                found.append(Finding(route.operation.place, reason, other.operation.place))
        matcher.add(route.tokens, route)
    return matchers


def _same_route(route: Route, other: Route, found: list[Finding]) -> None:
    here, there = route.operation.place, other.operation.place
    name = f"{route.operation.action} {route.template}"
    if route.service_class and other.service_class and route.service_class != other.service_class:
        reason = f'{name} is given the classes "{route.service_class}" and "{other.service_class}"'
        found.append(Finding(route.class_place or here, reason, other.class_place or there))
    elif here.file == there.file:
        found.append(Finding(here, f"{name} and {other.template} match the same", there))
    else:
        found.append(Finding(here, f"{name} is described twice; the tighter word holds", there, "warning"))


def _classes(
    routes: list[Route], classes: Mapping[str, ClassFacts] | None, options: Options, found: list[Finding]
) -> dict[str, ClassFacts]:
    """What each class may repeat: the tightest of what the platform and its routes say."""
    held: dict[str, ClassFacts] = {}
    members: dict[str, list[Route]] = {}
    for route in routes:
        if route.service_class:
            members.setdefault(route.service_class, []).append(route)
    for name, own in members.items():
        base = (classes or {}).get(name) or ClassFacts(name, "safe", "all", 0, 0)
        tightest = max(own, key=lambda one: (TIGHTER[one.verdict.repeat], one.operation.place))
        loosest = min(own, key=lambda one: (TIGHTER[one.verdict.repeat], one.operation.place))
        unsafe = tightest.verdict.repeat == "unsafe"
        if base.told and TIGHTER[base.told] < TIGHTER[tightest.verdict.repeat]:
            reason = (
                f"{tightest.operation.name} is {tightest.verdict.repeat} ({tightest.verdict.why}), and the "
                f'class "{name}" is told to be {base.told}'
            )
            found.append(Finding(tightest.verdict.place, reason, base.told_place))
        elif (
            unsafe
            and loosest.verdict.repeat != "unsafe"
            and base.told != "unsafe"
            and options.max_attempts > 1
        ):
            reason = (
                f'the class "{name}" mixes {tightest.operation.name} (unsafe) with {loosest.operation.name} '
                f"({loosest.verdict.repeat}), and attempts after a possible run are on: give them two "
                "classes, or say that the class is unsafe"
            )
            found.append(Finding(tightest.operation.place, reason, loosest.operation.place))
        elif TIGHTER[tightest.verdict.repeat] > TIGHTER[base.repeat]:
            reason = f'the class "{name}" was {base.repeat} and is {tightest.verdict.repeat} now'
            found.append(Finding(tightest.verdict.place, reason, None, "warning"))
        held[name] = _tightened(base, own)
    return held


def _tightened(base: ClassFacts, own: list[Route]) -> ClassFacts:
    repeat, scope, window = base.repeat, base.scope, base.window
    if base.told and TIGHTER[base.told] > TIGHTER[repeat]:
        repeat = base.told
    keyed = [window] if repeat == "keyed" else []
    for route in own:
        verdict = route.verdict
        if TIGHTER[verdict.repeat] > TIGHTER[repeat]:
            repeat = verdict.repeat
        if verdict.repeat == "keyed":
            keyed.append(verdict.window)
            scope = max(scope, verdict.scope, key=lambda one: NARROWER[one])
    return ClassFacts(
        base.name, repeat, scope, min(keyed, default=window), base.patience, base.told, base.told_place
    )
