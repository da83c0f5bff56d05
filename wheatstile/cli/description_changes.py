"""Compares two sets of compiled descriptions, and finds the changes that allow more retries."""

from collections.abc import Iterator

import msgspec

from wheatstile.descriptions.compile_types import CompiledDescriptions, Route
from wheatstile.descriptions.keywords import IDEMPOTENCY_KEYWORDS, SCOPE_KEYWORDS
from wheatstile.descriptions.model import RetrySafety, seconds_text
from wheatstile.descriptions.strictness import is_narrower, is_stricter
from wheatstile.interface import Idempotency

NO_CLASS = "none"

_keyword = IDEMPOTENCY_KEYWORDS.keyword


class DescriptionChange(msgspec.Struct):
    """One change as a sentence, and whether it allows retries that were not allowed before."""

    change: str
    loosens: bool = False


def description_changes(old: CompiledDescriptions, new: CompiledDescriptions) -> Iterator[DescriptionChange]:
    """Yield every change of a route, by action and template, then every change of a class, by name."""
    before = {(route.operation.action, route.template): route for route in old.routes}
    after = {(route.operation.action, route.template): route for route in new.routes}
    for key in sorted(before.keys() | after.keys()):
        yield from _route_changes(" ".join(key), before.get(key), after.get(key))
    for name in sorted(old.classes.keys() & new.classes.keys()):
        was = old.classes[name].idempotency
        now = new.classes[name].idempotency
        if was != now:
            change = f"class {name}: {_keyword(was)} -> {_keyword(now)}"
            yield DescriptionChange(change, is_stricter(was, now))


def _route_changes(name: str, was: Route | None, now: Route | None) -> Iterator[DescriptionChange]:
    if was is None and now:
        idempotency = _keyword(now.retry_safety.idempotency)
        yield DescriptionChange(f"{name}: added, {idempotency}, class {_class_name(now)}")
    elif now is None and was:
        yield DescriptionChange(f"{name}: removed")
    elif was and now:
        if was.service_class != now.service_class:
            yield DescriptionChange(f"{name}: class {_class_name(was)} -> {_class_name(now)}")
        yield from _retry_changes(name, was.retry_safety, now.retry_safety)


def _retry_changes(name: str, was: RetrySafety, now: RetrySafety) -> Iterator[DescriptionChange]:
    if was.idempotency != now.idempotency:
        loosens = is_stricter(was.idempotency, now.idempotency)
        effect = "becomes repeatable" if loosens else "ceases to be repeatable"
        keywords = f"{_keyword(was.idempotency)} -> {_keyword(now.idempotency)}"
        origin = f"({now.reason}, {now.location.short()})"
        yield DescriptionChange(f"{name}: {effect}, {keywords} {origin}", loosens)
    elif was.idempotency is Idempotency.IDEMPOTENCY_KEY:
        yield from _deduplication_changes(name, was, now)


def _deduplication_changes(name: str, was: RetrySafety, now: RetrySafety) -> Iterator[DescriptionChange]:
    if was.deduplication_scope != now.deduplication_scope:
        old_scope = SCOPE_KEYWORDS.keyword(was.deduplication_scope)
        new_scope = SCOPE_KEYWORDS.keyword(now.deduplication_scope)
        loosens = is_narrower(was.deduplication_scope, now.deduplication_scope)
        yield DescriptionChange(f"{name}: scope {old_scope} -> {new_scope}", loosens)
    if was.deduplication_window_us != now.deduplication_window_us:
        old_window = seconds_text(was.deduplication_window_us)
        new_window = seconds_text(now.deduplication_window_us)
        loosens = now.deduplication_window_us > was.deduplication_window_us
        yield DescriptionChange(f"{name}: known for {old_window} -> {new_window}", loosens)


def _class_name(route: Route) -> str:
    return route.service_class or NO_CLASS
