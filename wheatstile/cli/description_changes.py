"""Compares two sets of compiled descriptions, and marks the changes that allow more retries."""

from collections.abc import Iterator

import msgspec

from wheatstile.descriptions.compile_types import CompiledDescriptions, Route
from wheatstile.descriptions.keywords import IDEMPOTENCY_KEYWORDS, SCOPE_KEYWORDS
from wheatstile.descriptions.model import RetrySafety, format_seconds
from wheatstile.descriptions.strictness import is_narrower, is_stricter
from wheatstile.interface import Idempotency

NO_CLASS_LABEL = "none"

_keyword = IDEMPOTENCY_KEYWORDS.keyword


class DescriptionChange(msgspec.Struct):
    """A change as a sentence. `loosens` is true if it allows retries that were not allowed before."""

    change: str
    loosens: bool = False


def description_changes(old: CompiledDescriptions, new: CompiledDescriptions) -> Iterator[DescriptionChange]:
    """Yield the changes of routes, sorted by action and template, then those of classes, sorted by name."""
    old_routes = {(route.operation.action, route.template): route for route in old.routes}
    new_routes = {(route.operation.action, route.template): route for route in new.routes}
    for key in sorted(old_routes.keys() | new_routes.keys()):
        yield from _route_changes(" ".join(key), old_routes.get(key), new_routes.get(key))
    for name in sorted(old.classes.keys() & new.classes.keys()):
        old_idempotency = old.classes[name].idempotency
        new_idempotency = new.classes[name].idempotency
        if old_idempotency != new_idempotency:
            change = f"class {name}: {_keyword(old_idempotency)} -> {_keyword(new_idempotency)}"
            yield DescriptionChange(change, is_stricter(old_idempotency, new_idempotency))


def _route_changes(name: str, old: Route | None, new: Route | None) -> Iterator[DescriptionChange]:
    if old is None and new:
        idempotency = _keyword(new.retry_safety.idempotency)
        yield DescriptionChange(f"{name}: added, {idempotency}, class {_class_name(new)}")
    elif new is None and old:
        yield DescriptionChange(f"{name}: removed")
    elif old and new:
        if old.service_class != new.service_class:
            yield DescriptionChange(f"{name}: class {_class_name(old)} -> {_class_name(new)}")
        yield from _retry_changes(name, old.retry_safety, new.retry_safety)


def _retry_changes(name: str, old: RetrySafety, new: RetrySafety) -> Iterator[DescriptionChange]:
    if old.idempotency != new.idempotency:
        loosens = is_stricter(old.idempotency, new.idempotency)
        effect = "becomes repeatable" if loosens else "is no longer repeatable"
        keywords = f"{_keyword(old.idempotency)} -> {_keyword(new.idempotency)}"
        origin = f"({new.reason}, {new.location.file_and_line()})"
        yield DescriptionChange(f"{name}: {effect}, {keywords} {origin}", loosens)
    elif old.idempotency is Idempotency.IDEMPOTENCY_KEY:
        yield from _deduplication_changes(name, old, new)


def _deduplication_changes(name: str, old: RetrySafety, new: RetrySafety) -> Iterator[DescriptionChange]:
    if old.deduplication_scope != new.deduplication_scope:
        old_scope = SCOPE_KEYWORDS.keyword(old.deduplication_scope)
        new_scope = SCOPE_KEYWORDS.keyword(new.deduplication_scope)
        loosens = is_narrower(old.deduplication_scope, new.deduplication_scope)
        yield DescriptionChange(f"{name}: scope {old_scope} -> {new_scope}", loosens)
    if old.deduplication_window_us != new.deduplication_window_us:
        old_window = format_seconds(old.deduplication_window_us)
        new_window = format_seconds(new.deduplication_window_us)
        loosens = new.deduplication_window_us > old.deduplication_window_us
        yield DescriptionChange(f"{name}: deduplication window {old_window} -> {new_window}", loosens)


def _class_name(route: Route) -> str:
    return route.service_class or NO_CLASS_LABEL
