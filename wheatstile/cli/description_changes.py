"""What changes between two sets of compiled descriptions, and whether it allows more to be repeated."""

from collections.abc import Iterator

import msgspec

from wheatstile.descriptions.compile import Compiled, Route
from wheatstile.descriptions.model import NARROWER, TIGHTER, Verdict
from wheatstile.interface import Idempotency

MICROSECONDS_PER_SECOND = 1e6


class DescriptionChange(msgspec.Struct):
    """One change as a sentence, and whether something may be repeated now that could not be before."""

    change: str
    loosens: bool = False


def description_changes(old: Compiled, new: Compiled) -> Iterator[DescriptionChange]:
    """Every change of a route, by action and path, then every change of a class, by name."""
    before = {(route.operation.action, route.template): route for route in old.routes}
    after = {(route.operation.action, route.template): route for route in new.routes}
    for key in sorted(before.keys() | after.keys()):
        yield from _route_changes(" ".join(key), before.get(key), after.get(key))
    for name in sorted(old.classes.keys() & new.classes.keys()):
        was = old.classes[name].repeat
        now = new.classes[name].repeat
        if was != now:
            yield DescriptionChange(f"class {name}: {was} -> {now}", _is_looser(was, now))


def _route_changes(name: str, was: Route | None, now: Route | None) -> Iterator[DescriptionChange]:
    if was is None and now:
        yield DescriptionChange(f"{name}: added, {now.verdict.repeat}, class {_class_name(now)}")
    elif now is None and was:
        yield DescriptionChange(f"{name}: removed")
    elif was and now:
        if was.service_class != now.service_class:
            yield DescriptionChange(f"{name}: class {_class_name(was)} -> {_class_name(now)}")
        yield from _retry_changes(name, was.verdict, now.verdict)


def _retry_changes(name: str, was: Verdict, now: Verdict) -> Iterator[DescriptionChange]:
    if was.repeat != now.repeat:
        looser = _is_looser(was.repeat, now.repeat)
        effect = "becomes repeatable" if looser else "ceases to be repeatable"
        origin = f"({now.why}, {now.place.short()})"
        yield DescriptionChange(f"{name}: {effect}, {was.repeat} -> {now.repeat} {origin}", looser)
    elif Idempotency(was.repeat) is Idempotency.IDEMPOTENCY_KEY:
        yield from _deduplication_changes(name, was, now)


def _deduplication_changes(name: str, was: Verdict, now: Verdict) -> Iterator[DescriptionChange]:
    if was.scope != now.scope:
        wider = NARROWER[now.scope] < NARROWER[was.scope]
        yield DescriptionChange(f"{name}: scope {was.scope} -> {now.scope}", wider)
    if was.window != now.window:
        windows = f"{seconds_text(was.window)} -> {seconds_text(now.window)}"
        yield DescriptionChange(f"{name}: known for {windows}", now.window > was.window)


def _class_name(route: Route) -> str:
    return route.service_class or "none"


def _is_looser(was: str, now: str) -> bool:
    return TIGHTER[now] < TIGHTER[was]


def seconds_text(duration_us: int) -> str:
    """A duration as commands print it, in seconds."""
    return f"{duration_us / MICROSECONDS_PER_SECOND:g} s"
