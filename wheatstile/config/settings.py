"""The settings that the platform gives every balancer: nested JSON, in the platform's own words.

The sockets read them from the configuration's file, the simulator's host from its first message.
"""

import json
from math import inf, isfinite
from typing import Any

from wheatstile import interface as api

# The settings' word -> the interface's word.
REPEATS = {
    "retryable": api.Idempotency.IDEMPOTENT,
    "dedup": api.Idempotency.IDEMPOTENCY_KEY,
    "fragile": api.Idempotency.NON_IDEMPOTENT,
}
REPORT_NAMES = {
    "outstanding": "inflight",
    "backlog": "queue",
    "utilization": "busy",
    "recent_ms": "latency_ms",
    "throughput": "served_per_s",
    "errors_per_s": "errors_per_s",
    "x0": "load",
    "x1": "backlog_s",
}


class SettingsError(ValueError):
    """Settings that nobody could balance by; the text says which value is at fault."""


def number(data: dict[str, Any], key: str, where: str, least: float, default: float | None = None) -> float:
    """The figure under this key, `least` or more. Raises KeyError where it is missing, else SettingsError."""
    value = data[key] if default is None else data.get(key, default)
    # JSON's true would pass as 1, and the standard library reads NaN and Infinity.
    if isinstance(value, bool) or not isinstance(value, int | float) or not isfinite(value) or value < least:
        raise SettingsError(f"settings: {where}{key} must be a number of {least:g} or more, not {value!r}")
    return value


def settings(profile: str) -> api.Settings:
    """The settings; a missing key that nothing can stand in for raises SettingsError naming it."""
    try:
        data = json.loads(profile)
    except ValueError as error:
        raise SettingsError(f"settings: no JSON: {error}") from None
    try:
        return _settings(data)
    except KeyError as error:
        raise SettingsError(f"settings: lacks the key {error.args[0]}") from None
    except (TypeError, AttributeError) as error:
        raise SettingsError(f"settings: has a value of a wrong type: {error}") from None
    except SettingsError:
        raise
    except ValueError as error:
        raise SettingsError(str(error)) from None


def _deduplication_scope(word: str) -> api.DeduplicationScope:
    try:
        return api.DeduplicationScope(word)
    except ValueError:
        return api.DeduplicationScope.UNKNOWN


def _settings(data: dict[str, Any]) -> api.Settings:
    limits, rules, family = data["limits"], data["rules"], data.get("familyInfo", {})
    prices, aims = data.get("deductions", {}), family.get("messageAimUs") or []
    classes = {}
    named_aims = {str(index): aim for index, aim in enumerate(aims)}
    for index, row in enumerate(data["classes"]):
        where = f"classes[{index}]."
        classes[row["name"]] = api.ServiceClass(
            row["name"],
            int(number(row, "aimUs", where, 1)),
            REPEATS.get(row["repeat"], api.Idempotency.NON_IDEMPOTENT),
            _deduplication_scope(row.get("dedupScope", "all")),
            int(number(row, "dedupWindowUs", where, 0, 0)),
            number(row, "worth", where, 0, 1.0),
            int(number(named_aims, str(index), "familyInfo.messageAimUs.", 0, 0)),
        )
    accounts = data.get("accounts", [])
    shares = [number(row, "share", f"accounts[{at}].", 0, 1.0) for at, row in enumerate(accounts)]
    if accounts and not sum(shares):
        raise SettingsError("settings: accounts[].share must not sum to nothing")
    number(rules, "drainGraceUs", "rules.", 0, 0)  # nothing is begun at a server once it is told to drain
    telemetry = data.get("telemetry", {})
    names = telemetry.get("names", []) if telemetry.get("via", "silent") != "silent" else []
    return api.Settings(
        fleet_size=int(number(data, "fleetSize", "", -inf)),
        zone=str(data.get("zone", "")),
        classes=classes,
        max_attempts=int(number(limits, "maxAttempts", "limits.", 1)),
        slow_start_initial_capacity=number(rules, "coldFrom", "rules.", 0),
        slow_start_duration_us=int(number(rules, "warmAfterUs", "rules.", 0)),
        slow_start_overload_factor=number(rules, "tipMultiple", "rules.", 0),
        slow_start_overload_window_us=int(number(rules, "fallUs", "rules.", 1, 1_500_000)),
        poll_interval_us=int(number(rules, "askEveryUs", "rules.", 1, 10_000_000)),
        poll_endpoints=data["discovery"] == "on_request",
        health_checks_enabled=bool(limits.get("mayProbe", False)),
        load_metrics=tuple(REPORT_NAMES[n] for n in names if n in REPORT_NAMES),
        retry_after_enabled=bool(limits.get("retryAfter", False)),
        max_retry_after_us=int(number(limits, "maxRetryAfterUs", "limits.", 0, 0)),
        reports_message_latency=bool(family.get("tellsDelay", False)),
        cross_zone_cost=number(prices, "crossZone", "deductions.", 0, 0.0),
    )
