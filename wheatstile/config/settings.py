"""The settings that the platform gives every balancer: nested JSON, in the platform's own words.

The balancer on sockets reads them from the platform's file, the simulator's host from its first message.
"""

import json
from math import inf

from wheatstile import interface as api
from wheatstile.config.errors import MissingKeyError, SettingsError
from wheatstile.config.section import Section, checked_number, iterable

# The settings' word -> the interface's word.
IDEMPOTENCY = {
    "retryable": api.Idempotency.IDEMPOTENT,
    "dedup": api.Idempotency.IDEMPOTENCY_KEY,
    "fragile": api.Idempotency.NON_IDEMPOTENT,
}
LOAD_METRICS = {
    "outstanding": "inflight",
    "backlog": "queue",
    "utilization": "busy",
    "recent_ms": "latency_ms",
    "throughput": "served_per_s",
    "errors_per_s": "errors_per_s",
    "x0": "load",
    "x1": "backlog_s",
}
POLLED_DISCOVERY = "on_request"  # the value of `discovery` with which endpoints are not pushed
NO_TELEMETRY = "silent"  # the value of `telemetry.via` with which servers report nothing


def parse_settings(text: str) -> api.Settings:
    """Read the settings in this JSON text. Raises SettingsError naming the key at fault."""
    try:
        value = json.loads(text)
    except ValueError as error:
        raise SettingsError(f"settings: no JSON: {error}") from None
    return read_settings(value)


def read_settings(value: object) -> api.Settings:
    """Read the settings in this parsed JSON. Raises SettingsError naming the key at fault."""
    try:
        return _read(Section(value))
    except MissingKeyError as error:
        raise SettingsError(str(error)) from None
    except (TypeError, AttributeError) as error:
        raise SettingsError(f"settings: has a value of a wrong type: {error}") from None
    except SettingsError:
        raise
    except ValueError as error:  # the interface's own checks
        raise SettingsError(str(error)) from None


def message_latency_objectives_us(settings: Section) -> list[object]:
    """`familyInfo.messageAimUs`, one for each class in their order: unchecked, and empty if there is none."""
    objectives = settings.optional_section("familyInfo").get("messageAimUs", None) or []
    return iterable(objectives, "familyInfo.messageAimUs")


def _read(settings: Section) -> api.Settings:
    limits = settings.section("limits")
    rules = settings.section("rules")
    _check_unused(settings, rules)
    return api.Settings(
        fleet_size=settings.integer("fleetSize", -inf),
        zone=str(settings.get("zone", "")),
        classes=_service_classes(settings),
        max_attempts=limits.integer("maxAttempts", 1),
        slow_start_initial_capacity=rules.number("coldFrom", 0),
        slow_start_duration_us=rules.integer("warmAfterUs", 0),
        slow_start_overload_factor=rules.number("tipMultiple", 0),
        slow_start_overload_window_us=rules.integer("fallUs", 1, 1_500_000),
        poll_interval_us=rules.integer("askEveryUs", 1, 10_000_000),
        poll_endpoints=settings.require("discovery") == POLLED_DISCOVERY,
        health_checks_enabled=limits.flag("mayProbe"),
        load_metrics=_load_metrics(settings),
        retry_after_enabled=limits.flag("retryAfter"),
        max_retry_after_us=limits.integer("maxRetryAfterUs", 0, 0),
        reports_message_latency=settings.optional_section("familyInfo").flag("tellsDelay"),
        cross_zone_cost=settings.optional_section("deductions").number("crossZone", 0, 0.0),
    )


def _check_unused(settings: Section, rules: Section) -> None:
    """Check also what is not decided by: a fault there shows that these are no settings."""
    accounts = settings.optional_sections("accounts")
    shares = [account.number("share", 0, 1.0) for account in accounts]
    if accounts and not sum(shares):
        raise SettingsError("settings: accounts[].share must not sum to nothing")
    rules.number("drainGraceUs", 0, 0)  # nothing is begun at a server once it is draining


def _service_classes(settings: Section) -> dict[str, api.ServiceClass]:
    objectives = message_latency_objectives_us(settings)
    classes = {}
    for index, section in enumerate(settings.sections("classes")):
        objective = objectives[index] if index < len(objectives) else 0
        service_class = _service_class(section, objective, index)
        classes[service_class.name] = service_class
    return classes


def _service_class(section: Section, message_objective_us: object, index: int) -> api.ServiceClass:
    return api.ServiceClass(
        section.name("name"),
        section.integer("aimUs", 1),
        IDEMPOTENCY.get(section.name("repeat"), api.Idempotency.NON_IDEMPOTENT),
        _deduplication_scope(str(section.get("dedupScope", "all"))),
        section.integer("dedupWindowUs", 0, 0),
        section.number("worth", 0, 1.0),
        int(checked_number(message_objective_us, f"familyInfo.messageAimUs.{index}", 0)),
    )


def _deduplication_scope(value: str) -> api.DeduplicationScope:
    try:
        return api.DeduplicationScope(value)
    except ValueError:
        return api.DeduplicationScope.UNKNOWN


def _load_metrics(settings: Section) -> tuple[str, ...]:
    """Return the metrics that servers report, in the interface's words; unknown ones are passed over."""
    telemetry = settings.optional_section("telemetry")
    if telemetry.get("via", NO_TELEMETRY) == NO_TELEMETRY:
        return ()
    return tuple(LOAD_METRICS[name] for name in telemetry.names("names") if name in LOAD_METRICS)
