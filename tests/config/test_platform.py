"""The platform's file: the configuration that is read from it, and the errors that name an invalid key."""

import json
from pathlib import Path
from typing import Any

import pytest
from support.balancer import SETTINGS

from wheatstile.config.platform import ClientLimits, Config, ConfigError, UpstreamLimits

DOCUMENT: dict[str, Any] = {
    "name": "n0",
    "listen": "127.0.0.1:80",
    "discovery": "127.0.0.1:81",
    "seed": "8c1f",
    "limits": {"cores": 1.0, "sockets": 50.0},
    "known": {
        "revision": 3,
        "complete": True,
        "members": [
            {"id": "s1", "host_port": "10.0.0.1:90", "phase": "ready"},
            {"id": "s2", "phase": "gone"},
        ],
    },
    "settings": SETTINGS,
}


def read(path: Path, document: object = DOCUMENT, **variables: str) -> Config:
    """Write the document to the file, and read the configuration from it and these variables."""
    path.write_text(json.dumps(document))
    return Config.read({"RELAY_CONFIG": str(path)} | variables)


@pytest.fixture
def path(tmp_path: Path) -> Path:
    """Return the path of the platform's file, which does not exist yet."""
    return tmp_path / "config.json"


def test_values_of_the_file_are_converted_to_the_units_of_the_fields(path: Path) -> None:
    config = read(path)
    assert (config.name, config.listen, config.discovery) == ("n0", ("127.0.0.1", 80), ("127.0.0.1", 81))
    assert config.seed == 0x8C1F
    assert config.upstream_limits == UpstreamLimits(1.0, 15.0, True, 60.0, 50)
    assert config.client_limits == ClientLimits(50, {"web": 9000}, 2000)
    assert config.longest_deadline_s == 9.0
    assert not config.settings.reports_message_latency  # the line protocol has no message for it
    assert config.known.addresses == {"s1": ("10.0.0.1", 90), "s2": None}


def test_variables_have_priority_over_the_file(path: Path) -> None:
    config = read(path, RELAY_NAME="n7", RELAY_LISTEN="127.0.0.2:1", RELAY_DISCOVERY="127.0.0.3:2")
    assert (config.name, config.listen, config.discovery) == ("n7", ("127.0.0.2", 1), ("127.0.0.3", 2))


@pytest.mark.parametrize("key", ["name", "listen", "discovery", "seed", "limits", "known", "settings"])
def test_error_names_the_missing_key(path: Path, key: str) -> None:
    document = {name: value for name, value in DOCUMENT.items() if name != key}
    with pytest.raises(ConfigError) as caught:
        read(path, document)
    assert str(caught.value) == f"{path}: the key {key} is missing"


@pytest.mark.parametrize(
    ("change", "text"),
    [
        ({"listen": "nowhere"}, "not HOST:PORT: 'nowhere'"),
        ({"listen": "127.0.0.1:65536"}, "not HOST:PORT: '127.0.0.1:65536'"),
        ({"seed": 5}, "seed must be a string"),
        ({"limits": {"sockets": 0}}, "the platform's limits.sockets must be a number of 1 or more, not 0"),
        ({"settings": SETTINGS | {"limits": {}}}, "the key maxAttempts is missing"),
        ({"settings": {}}, "the key limits is missing"),
        ({"settings": SETTINGS | {"classes": []}}, "classes must name one class or more"),
        ({"known": {"revision": 1, "complete": True}}, "the key members is missing"),
    ],
)
def test_error_names_the_invalid_value(path: Path, change: dict[str, Any], text: str) -> None:
    with pytest.raises(ConfigError) as caught:
        read(path, DOCUMENT | change)
    assert str(caught.value).startswith(f"{path}: ")
    assert text in str(caught.value)


def test_missing_variable_or_file_is_rejected(tmp_path: Path) -> None:
    with pytest.raises(ConfigError, match="RELAY_CONFIG is not set or is empty"):
        Config.read({})
    with pytest.raises(ConfigError, match="absent"):
        Config.read({"RELAY_CONFIG": str(tmp_path / "absent")})
