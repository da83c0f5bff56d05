"""The settings that the platform gives every balancer: nested JSON, in the platform's own words.

The sockets read them from the configuration's file, the simulator's host from its first message.
"""

import json
from typing import Any

from wheatstile import interface as api

# The settings' word -> the interface's word.
REPEATS = {"retryable": "safe", "dedup": "keyed", "fragile": "unsafe"}
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


def _settings(data: dict[str, Any]) -> api.Settings:
    limits, rules, family = data["limits"], data["rules"], data.get("familyInfo", {})
    prices, aims = data.get("deductions", {}), family.get("messageAimUs") or []
    classes = {}
    for index, row in enumerate(data["classes"]):
        classes[row["name"]] = api.ServiceClass(
            row["name"],
            int(row["aimUs"]),
            REPEATS.get(row["repeat"], "unsafe"),
            row.get("dedupScope", "all"),
            int(row.get("dedupWindowUs", 0)),
            float(row.get("worth", 1.0)),
            int(aims[index]) if index < len(aims) else 0,
        )
    telemetry = data.get("telemetry", {})
    names = telemetry.get("names", []) if telemetry.get("via", "silent") != "silent" else []
    return api.Settings(
        fleet_size=int(data["fleetSize"]),
        zone=str(data.get("zone", "")),
        classes=classes,
        max_attempts=int(limits["maxAttempts"]),
        cold_from=float(rules["coldFrom"]),
        warm_after=int(rules["warmAfterUs"]),
        cold_multiple=float(rules["tipMultiple"]),
        cold_window=int(rules.get("fallUs", 1_500_000)),
        list_on_request=data["discovery"] == "on_request",
        may_probe=bool(limits.get("mayProbe", False)),
        report_names=tuple(REPORT_NAMES[n] for n in names if n in REPORT_NAMES),
        retry_advice=bool(limits.get("retryAfter", False)),
        max_retry_advice=int(limits.get("maxRetryAfterUs", 0)),
        tells_delay=bool(family.get("tellsDelay", False)),
        cross_price=float(prices.get("crossZone", 0.0)),
    )
