"""Applies the class policies learned from descriptions to the platform's settings. Pure."""

from collections.abc import Mapping
from dataclasses import replace

from wheatstile.descriptions.strictness import narrower, stricter
from wheatstile.descriptions.worker_protocol import LearnedClass
from wheatstile.interface import Idempotency, ServiceClass, Settings


def tighten_settings(settings: Settings, learned: Mapping[str, LearnedClass]) -> Settings:
    """Return the settings with each learned class tightened. Classes that the settings lack are ignored."""
    classes = dict(settings.classes)
    for name, learned_class in learned.items():
        if name in classes:
            classes[name] = _tighten_class(classes[name], learned_class)
    return replace(settings, classes=classes)


def _tighten_class(service_class: ServiceClass, learned: LearnedClass) -> ServiceClass:
    """Return the class with the stricter idempotency, narrower scope and shorter window of the two."""
    windows_us = [
        source.deduplication_window_us
        for source in (service_class, learned)
        if source.idempotency is Idempotency.IDEMPOTENCY_KEY
    ]
    return replace(
        service_class,
        idempotency=stricter(service_class.idempotency, learned.idempotency),
        deduplication_scope=narrower(service_class.deduplication_scope, learned.deduplication_scope),
        deduplication_window_us=min(windows_us, default=service_class.deduplication_window_us),
    )
