"""Reload of the platform's file: the fields that it changes, and the files that it rejects."""

import json
from pathlib import Path
from typing import Any

import pytest
from support.balancer import SETTINGS

from wheatstile.config.platform import Config
from wheatstile.process.reload import reload_platform_config

DOCUMENT: dict[str, Any] = {
    "name": "n0",
    "listen": "127.0.0.1:80",
    "discovery": "127.0.0.1:81",
    "seed": "1",
    "limits": {"sockets": 50},
    "known": {"revision": 1, "complete": True, "members": []},
    "settings": SETTINGS,
}


@pytest.fixture
def path(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Path:
    """Return the path of a file with DOCUMENT, which RELAY_CONFIG names. The other variables are not set."""
    path = tmp_path / "config.json"
    path.write_text(json.dumps(DOCUMENT))
    monkeypatch.setenv("RELAY_CONFIG", str(path))
    for name in ("RELAY_NAME", "RELAY_LISTEN", "RELAY_DISCOVERY"):
        monkeypatch.delenv(name, raising=False)
    return path


def test_reload_changes_every_field_except_those_read_only_at_the_start(path: Path) -> None:
    current = Config.read({"RELAY_CONFIG": str(path)})
    known = DOCUMENT["known"] | {"revision": 9}
    changes = {"name": "n1", "listen": "127.0.0.1:90", "seed": "2", "known": known}
    path.write_text(json.dumps(DOCUMENT | changes | {"discovery": "127.0.0.1:91", "limits": {"sockets": 40}}))

    reloaded = reload_platform_config(current)

    assert reloaded is not None
    assert reloaded.pending_restart == ["name", "listen", "seed", "known"]
    latest = reloaded.config
    assert (latest.name, latest.listen, latest.seed) == ("n0", ("127.0.0.1", 80), 1)
    assert latest.known == current.known
    assert latest.discovery == ("127.0.0.1", 91)
    assert latest.client_limits.max_descriptors == 40


def test_reload_takes_discovery_from_the_file_and_not_from_the_variable(
    path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("RELAY_DISCOVERY", "127.0.0.1:99")
    current = Config.read({"RELAY_CONFIG": str(path), "RELAY_DISCOVERY": "127.0.0.1:99"})

    reloaded = reload_platform_config(current)

    assert reloaded is not None
    assert reloaded.config.discovery == ("127.0.0.1", 81)
    assert reloaded.pending_restart == []


def test_file_that_is_not_json_is_rejected(path: Path) -> None:
    current = Config.read({"RELAY_CONFIG": str(path)})
    path.write_text("{")

    assert reload_platform_config(current) is None
