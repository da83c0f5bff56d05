"""What changes between two sets of compiled descriptions, and whether it allows more to be repeated."""

from collections.abc import Iterator

import msgspec

from wheatstile.descriptions.compile_types import CompiledDescriptions, Route
from wheatstile.descriptions.model import SCOPE_NARROWNESS, RetrySafety, is_stricter
from wheatstile.interface import Idempotency

MICROSECONDS_PER_SECOND = 1e6


class DescriptionChange(msgspec.Struct):
    """One change as a sentence, and whether something may be repeated now that could not be before."""

    change: str
    loosens: bool = False


def description_changes(old: CompiledDescriptions, new: CompiledDescriptions) -> Iterator[DescriptionChange]:
    """Every change of a route, by action and path, then every change of a class, by name."""
    before = {(route.operation.action, route.template): route for route in old.routes}
    after = {(route.operation.action, route.template): route for route in new.routes}
    for key in sorted(before.keys() | after.keys()):
        yield from _route_changes(" ".join(key), before.get(key), after.get(key))
    for name in sorted(old.classes.keys() & new.classes.keys()):
        was = old.classes[name].idempotency
        now = new.classes[name].idempotency
        if was != now:
            yield DescriptionChange(f"class {name}: {was} -> {now}", is_stricter(was, now))


def _route_changes(name: str, was: Route | None, now: Route | None) -> Iterator[DescriptionChange]:
    if was is None and now:
        yield DescriptionChange(f"{name}: added, {now.retry_safety.idempotency}, class {_class_name(now)}")
    elif now is None and was:
        yield DescriptionChange(f"{name}: removed")
    elif was and now:
        if was.service_class != now.service_class:
            yield DescriptionChange(f"{name}: class {_class_name(was)} -> {_class_name(now)}")
        yield from _retry_changes(name, was.retry_safety, now.retry_safety)


def _retry_changes(name: str, was: RetrySafety, now: RetrySafety) -> Iterator[DescriptionChange]:
    if was.idempotency != now.idempotency:
        looser = is_stricter(was.idempotency, now.idempotency)
        effect = "becomes repeatable" if looser else "ceases to be repeatable"
        origin = f"({now.reason}, {now.location.short()})"
        yield DescriptionChange(f"{name}: {effect}, {was.idempotency} -> {now.idempotency} {origin}", looser)
    elif was.idempotency is Idempotency.IDEMPOTENCY_KEY:
        yield from _deduplication_changes(name, was, now)


def _deduplication_changes(name: str, was: RetrySafety, now: RetrySafety) -> Iterator[DescriptionChange]:
    if was.deduplication_scope != now.deduplication_scope:
        wider = SCOPE_NARROWNESS[now.deduplication_scope] < SCOPE_NARROWNESS[was.deduplication_scope]
        yield DescriptionChange(
            f"{name}: scope {was.deduplication_scope} -> {now.deduplication_scope}", wider
        )
    if was.deduplication_window_us != now.deduplication_window_us:
        windows = (
            f"{seconds_text(was.deduplication_window_us)} -> {seconds_text(now.deduplication_window_us)}"
        )
        yield DescriptionChange(
            f"{name}: known for {windows}", now.deduplication_window_us > was.deduplication_window_us
        )


def _class_name(route: Route) -> str:
    return route.service_class or "none"


def seconds_text(duration_us: int) -> str:
    """Return a duration as commands print it, in seconds."""
    return f"{duration_us / MICROSECONDS_PER_SECOND:g} s"
