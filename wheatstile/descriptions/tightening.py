"""Applies the class policies compiled from descriptions to the platform's settings. Performs no I/O."""

from collections.abc import Mapping
from dataclasses import replace

from wheatstile.descriptions.strictness import narrower, stricter
from wheatstile.descriptions.worker_protocol import CompiledClass
from wheatstile.interface import Idempotency, ServiceClass, Settings


def tighten_settings(settings: Settings, compiled_classes: Mapping[str, CompiledClass]) -> Settings:
    """Return the settings, made at least as strict as the compiled classes.

    Compiled classes that are not in the settings are ignored.
    """
    classes = dict(settings.classes)
    for name, compiled in compiled_classes.items():
        if name in classes:
            classes[name] = _tighten_class(classes[name], compiled)
    return replace(settings, classes=classes)


def _tighten_class(service_class: ServiceClass, compiled: CompiledClass) -> ServiceClass:
    """Return the class with the stricter idempotency, the narrower scope and the shorter window."""
    windows_us = [
        source.deduplication_window_us
        for source in (service_class, compiled)
        if source.idempotency is Idempotency.IDEMPOTENCY_KEY
    ]
    return replace(
        service_class,
        idempotency=stricter(service_class.idempotency, compiled.idempotency),
        deduplication_scope=narrower(service_class.deduplication_scope, compiled.deduplication_scope),
        deduplication_window_us=min(windows_us, default=service_class.deduplication_window_us),
    )
