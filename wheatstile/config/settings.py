"""Reads the platform's settings, which are nested JSON, into `Settings`. docs/glossary.md lists the keys.

The balancer reads them from the platform's file. The simulator's host reads them from the message that starts
an instance.
"""

import json
from math import inf

from wheatstile import interface as api
from wheatstile.config.errors import MissingKeyError, SettingsError
from wheatstile.config.section import Section, checked_list, checked_number

IDEMPOTENCY = {  # the keys are the values of `classes[].repeat`
    "retryable": api.Idempotency.IDEMPOTENT,
    "dedup": api.Idempotency.IDEMPOTENCY_KEY,
    "fragile": api.Idempotency.NON_IDEMPOTENT,
}
DEDUPLICATION_SCOPES = {  # the keys are the values of `classes[].dedupScope`
    "all": api.DeduplicationScope.ALL,
    "zone": api.DeduplicationScope.ZONE,
    "cell": api.DeduplicationScope.CELL,
}
DEFAULT_DEDUPLICATION_SCOPE = "all"
LOAD_METRICS: dict[str, str] = {  # the keys are the values of `telemetry.names`
    "outstanding": api.LoadMetric.IN_FLIGHT.value,
    "backlog": api.LoadMetric.QUEUE_LENGTH.value,
    "utilization": api.LoadMetric.BUSY_SHARE.value,
    "recent_ms": api.LoadMetric.LATENCY_MS.value,
    "throughput": api.LoadMetric.SERVED_PER_S.value,
    "errors_per_s": api.LoadMetric.ERRORS_PER_S.value,
    "x0": api.LoadMetric.LOAD.value,
    "x1": api.LoadMetric.BACKLOG_S.value,
}
POLLED_DISCOVERY = "on_request"  # value of `discovery` if balancers must poll the endpoint list
NO_TELEMETRY = "silent"  # value of `telemetry.via` if servers do not report their load
DEFAULT_SLOW_START_OVERLOAD_WINDOW_US = 1_500_000
DEFAULT_POLL_INTERVAL_US = 10_000_000


def parse_settings(text: str) -> api.Settings:
    """Return the settings in this JSON text. Raises SettingsError, which names the invalid key."""
    try:
        value = json.loads(text)
    except ValueError as error:
        raise SettingsError(f"settings: not valid JSON: {error}") from None
    return read_settings(value)


def read_settings(value: object) -> api.Settings:
    """Return the settings in this parsed JSON. Raises SettingsError, which names the invalid key."""
    try:
        return _read(Section(value))
    except MissingKeyError as error:
        raise SettingsError(str(error)) from None
    except (TypeError, AttributeError) as error:
        raise SettingsError(f"settings: value of the wrong type: {error}") from None
    except SettingsError:
        raise
    except ValueError as error:  # raised by the checks of api.Settings
        raise SettingsError(str(error)) from None


def message_latency_objectives_us(settings: Section) -> list[object]:
    """Return `familyInfo.messageAimUs`, which has one objective for each class, in the order of the classes.

    The elements are not checked. The list is empty if no objectives are set.
    """
    objectives = settings.optional_section("familyInfo").get("messageAimUs", None) or []
    return checked_list(objectives, "familyInfo.messageAimUs")


def _read(settings: Section) -> api.Settings:
    limits = settings.section("limits")
    rules = settings.section("rules")
    _check_unused_keys(settings, rules)
    return api.Settings(
        fleet_size=settings.integer("fleetSize", -inf),
        zone=str(settings.get("zone", "")),
        classes=_service_classes(settings),
        max_attempts=limits.integer("maxAttempts", 1),
        slow_start_initial_capacity=rules.number("coldFrom", 0),
        slow_start_duration_us=rules.integer("warmAfterUs", 0),
        slow_start_overload_factor=rules.number("tipMultiple", 0),
        slow_start_overload_window_us=rules.integer("fallUs", 1, DEFAULT_SLOW_START_OVERLOAD_WINDOW_US),
        poll_interval_us=rules.integer("askEveryUs", 1, DEFAULT_POLL_INTERVAL_US),
        poll_endpoints=settings.require("discovery") == POLLED_DISCOVERY,
        health_checks_enabled=limits.flag("mayProbe"),
        load_metrics=_load_metrics(settings),
        retry_after_enabled=limits.flag("retryAfter"),
        max_retry_after_us=limits.integer("maxRetryAfterUs", 0, 0),
        reports_message_latency=settings.optional_section("familyInfo").flag("tellsDelay"),
        cross_zone_cost=settings.optional_section("deductions").number("crossZone", 0, 0.0),
    )


def _check_unused_keys(settings: Section, rules: Section) -> None:
    """Check the keys that the balancer does not use. An invalid one shows that the settings are damaged."""
    accounts = settings.optional_sections("accounts")
    shares = [account.number("share", 0, 1.0) for account in accounts]
    if accounts and not sum(shares):
        raise SettingsError("settings: the sum of accounts[].share must not be 0")
    rules.number("drainGraceUs", 0, 0)  # unused because a draining server gets no new sessions


def _service_classes(settings: Section) -> dict[str, api.ServiceClass]:
    objectives = message_latency_objectives_us(settings)
    classes = {}
    for index, section in enumerate(settings.sections("classes")):
        objective = objectives[index] if index < len(objectives) else 0
        service_class = _service_class(section, objective, index)
        classes[service_class.name] = service_class
    return classes


def _service_class(section: Section, message_objective_us: object, index: int) -> api.ServiceClass:
    scope = str(section.get("dedupScope", DEFAULT_DEDUPLICATION_SCOPE))
    objective_location = f"familyInfo.messageAimUs.{index}"
    return api.ServiceClass(
        name=section.name("name"),
        latency_objective_us=section.integer("aimUs", 1),
        idempotency=IDEMPOTENCY.get(section.name("repeat"), api.Idempotency.NON_IDEMPOTENT),
        deduplication_scope=DEDUPLICATION_SCOPES.get(scope, api.DeduplicationScope.UNKNOWN),
        deduplication_window_us=section.integer("dedupWindowUs", 0, 0),
        priority_weight=section.number("worth", 0, 1.0),
        message_latency_objective_us=int(checked_number(message_objective_us, objective_location, 0)),
    )


def _load_metrics(settings: Section) -> tuple[str, ...]:
    """Return the metrics that servers report, by their names in `LoadMetric`. Unknown ones are ignored."""
    telemetry = settings.optional_section("telemetry")
    if telemetry.get("via", NO_TELEMETRY) == NO_TELEMETRY:
        return ()
    return tuple(LOAD_METRICS[name] for name in telemetry.names("names") if name in LOAD_METRICS)
