"""The platform's settings: accepted values, defaults, and errors that name the invalid key."""

import copy
import json
from collections.abc import Callable
from typing import Any

import pytest
from support.balancer import SETTINGS

from wheatstile import interface as api
from wheatstile.config.errors import InvalidConfigurationError, MissingKeyError, SettingsError, WrongTypeError
from wheatstile.config.platform import ConfigError
from wheatstile.config.settings import parse_settings, read_settings
from wheatstile.config.violations import ConfigurationError

Change = Callable[[dict[str, Any]], object]


def changed(change: Change) -> dict[str, Any]:
    """Return a copy of SETTINGS with this change."""
    settings = copy.deepcopy(SETTINGS)
    change(settings)
    return settings


def test_platform_keys_are_mapped_to_settings_of_the_decision_module() -> None:
    settings = read_settings(SETTINGS)
    assert settings == parse_settings(json.dumps(SETTINGS))
    assert settings.classes["web"].latency_objective_us == 500_000
    assert settings.classes["web"].idempotency is api.Idempotency.IDEMPOTENT
    assert settings.classes["web"].message_latency_objective_us == 60_000
    assert settings.poll_endpoints
    assert settings.health_checks_enabled
    assert settings.retry_after_enabled
    assert settings.load_metrics == ("load",)
    # The keys of the next two settings are missing, so the defaults are used.
    assert settings.slow_start_overload_window_us == 1_500_000
    assert settings.poll_interval_us == 10_000_000


@pytest.mark.parametrize(
    "change",
    [
        lambda settings: settings["classes"][0].update(aimUs=500000.0),
        lambda settings: settings["familyInfo"].update(messageAimUs=[60000, 5, 7]),  # there is only one class
        lambda settings: settings["telemetry"].update(names=["x0", "unheard_of", 7, None]),
        lambda settings: settings.update(unheard_of=[1], accounts=[]),
        lambda settings: settings["limits"].update(unheard_of=None),
        lambda settings: settings["classes"][0].update(dedupScope="all", dedupWindowUs=0, worth=1),
    ],
)  # fmt: skip
def test_floats_surplus_elements_and_unknown_keys_change_nothing(change: Change) -> None:
    assert read_settings(changed(change)) == read_settings(SETTINGS)


@pytest.mark.parametrize("value", [None, [], 0, False])
def test_message_latency_objectives_may_be_absent(value: object) -> None:
    settings = read_settings(changed(lambda settings: settings["familyInfo"].update(messageAimUs=value)))
    assert settings.classes["web"].message_latency_objective_us == 0


@pytest.mark.parametrize(
    ("keyword", "scope"),
    [
        ("all", api.DeduplicationScope.ALL),
        ("zone", api.DeduplicationScope.ZONE),
        ("cell", api.DeduplicationScope.CELL),
        ("planet", api.DeduplicationScope.UNKNOWN),
        (None, api.DeduplicationScope.UNKNOWN),
    ],
)
def test_keyword_is_mapped_to_a_deduplication_scope(keyword: object, scope: api.DeduplicationScope) -> None:
    settings = read_settings(changed(lambda settings: settings["classes"][0].update(dedupScope=keyword)))
    assert settings.classes["web"].deduplication_scope is scope


@pytest.mark.parametrize(
    ("change", "expectation"),
    [
        (lambda settings: settings.update(limits=[]), "limits must be an object"),
        (lambda settings: settings.update(telemetry=None), "telemetry must be an object"),
        (lambda settings: settings.update(classes=5), "classes must be a list"),
        (lambda settings: settings.update(classes=[["web"]]), r"classes\[0\] must be an object"),
        (lambda settings: settings["classes"][0].update(name=[]), r"classes\[0\]\.name must be a string"),
        (lambda settings: settings["telemetry"].update(names=[[]]), r"telemetry\.names must be a string"),
        (lambda settings: settings["familyInfo"].update(messageAimUs=5), "messageAimUs must be a list"),
    ],
)
def test_error_names_the_value_of_the_wrong_type(change: Change, expectation: str) -> None:
    with pytest.raises(WrongTypeError, match=f"^settings: value of the wrong type: .*{expectation}"):
        read_settings(changed(change))


@pytest.mark.parametrize(
    ("change", "text"),
    [
        (
            lambda settings: settings["limits"].update(maxAttempts=True),
            "limits.maxAttempts must be a number of 1 or more, not True",
        ),
        (
            lambda settings: settings["rules"].update(coldFrom="0.2"),
            "rules.coldFrom must be a number of 0 or more, not '0.2'",
        ),
        (
            lambda settings: settings["classes"][0].update(worth=float("nan")),
            "classes[0].worth must be a number of 0 or more, not nan",
        ),
        (
            lambda settings: settings["familyInfo"].update(messageAimUs=[-1]),
            "familyInfo.messageAimUs.0 must be a number of 0 or more, not -1",
        ),
        (
            lambda settings: settings.update(accounts=[{"share": 0}, {"share": 0.0}]),
            "the sum of accounts[].share must not be 0",
        ),
        (lambda settings: settings["rules"].pop("coldFrom"), "the key coldFrom is missing"),
        (lambda settings: settings["classes"][0].pop("repeat"), "the key repeat is missing"),
    ],
)
def test_error_names_the_location_of_the_invalid_value(change: Change, text: str) -> None:
    with pytest.raises(SettingsError) as caught:
        read_settings(changed(change))
    assert str(caught.value) == f"settings: {text}"


def test_all_errors_of_the_package_have_one_base_class() -> None:
    for error_type in (SettingsError, MissingKeyError, WrongTypeError, ConfigError, ConfigurationError):
        assert issubclass(error_type, InvalidConfigurationError)
    assert MissingKeyError("classes").key == "classes"
