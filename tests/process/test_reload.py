"""Reload of the platform's file by SIGHUP in a running process: applied changes and rejected files."""

import json
import select
import signal
import time
from typing import Any

import pytest
from support.balancer import SETTINGS, SLOW_CONNECT, WITHOUT_HEALTH_CHECKS, Balancer
from support.peer import Listener, Peer

INVALID_SETTINGS: tuple[tuple[str, object], ...] = (
    ("fleetSize", 0), ("fleetSize", "three"), ("classes.0.aimUs", 0), ("classes.0.aimUs", None),
    ("classes.0.deadlineUs", 0), ("classes.0.deadlineUs", True), ("limits.maxAttempts", 0),
    ("limits.dialTimeoutUs", -1), ("limits.dialTimeoutUs", "75"), ("limits.keepaliveUs", 0),
    ("limits.maxRetryAfterUs", -1), ("rules.coldFrom", -0.1), ("rules.tipMultiple", float("nan")),
    ("rules.warmAfterUs", -1), ("rules.fallUs", 0), ("rules.drainGraceUs", -1), ("rules.askEveryUs", 0),
    ("familyInfo.messageAimUs", [-1]), ("deductions.crossZone", float("inf")),
    ("accounts", [{"name": "a", "share": 0}]),
)  # fmt: skip
KEYS_IN_MESSAGES = {"fleetSize": "fleet"}  # keys that messages name by another text


@pytest.fixture
def settings() -> dict[str, Any]:
    return WITHOUT_HEALTH_CHECKS


def with_setting(config: dict[str, Any], path: str, value: object) -> str:
    """Return the configuration's text with the setting at this dotted path replaced."""
    copy = json.loads(json.dumps(config))
    *parents, key = path.split(".")
    container: Any = copy["settings"]
    for parent in parents:
        container = (
            container[int(parent)] if isinstance(container, list) else container.setdefault(parent, {})
        )
    container[key] = value
    return json.dumps(copy)


def key_in_message(path: str) -> str:
    """Return the text that names the key in the message for an invalid setting at this path."""
    key = path.rpartition(".")[2]
    return KEYS_IN_MESSAGES.get(key, key)


def start_with_discovery_variable(balancer: Balancer, discovery_in_file: Listener) -> Peer:
    """Start the balancer with RELAY_DISCOVERY, which has priority over the file. Return its open watch."""
    balancer.path.write_text(json.dumps(balancer.config() | {"discovery": discovery_in_file.address}))
    balancer.launch(RELAY_DISCOVERY=balancer.discovery.address)
    balancer.wait_until_ready()
    watch, _ = balancer.discovery.watch()
    watch.begin_watch()
    return watch


def test_reload_moves_the_watch_to_the_discovery_of_the_file(balancer: Balancer) -> None:
    new_discovery = Listener()
    old_watch = start_with_discovery_variable(balancer, new_discovery)
    old_watch.send_endpoint_list(70, balancer.member("s2"))
    client, server = balancer.establish()

    balancer.reload()

    # The new discovery does not know the revisions of the old one, so the complete list is fetched first.
    call, request = new_discovery.watch()
    assert request == "GET /discovery/hosts HTTP/1.1"
    assert old_watch.line() == ""
    body = json.dumps({"revision": 2, "complete": True, "members": [balancer.member("s3")]}, indent=1)
    call.send("HTTP/1.1 200 OK", f"Content-Length: {len(body)}", "", body)
    watch, request = new_discovery.watch()
    assert "after=2 " in request
    watch.begin_watch()
    watch.send_endpoint_list(3, balancer.member("s3", host_port=Listener().address))
    watch.close()
    new_watch, request = new_discovery.watch()
    assert "after=3 " in request
    client.send("a line")
    assert server.line() == "a line"  # the established session is not affected

    balancer.reload()  # without a change, the watch stays open
    new_watch.begin_watch()
    new_watch.send_endpoint_list(4, balancer.member("s3"), complete=True)
    balancer.establish(2)


def test_new_discovery_is_called_without_the_backoff_of_the_old_one(balancer: Balancer) -> None:
    balancer.start()
    for _ in range(3):  # the backoff after three failures is 2 to 6 s
        balancer.discovery.watch()[0].close()
    new_discovery = Listener()
    reloaded_at = time.monotonic()

    balancer.reload(discovery=new_discovery.address)

    new_discovery.watch()
    assert time.monotonic() - reloaded_at < 1.5


def test_unusable_file_changes_nothing(balancer: Balancer) -> None:
    balancer.start()
    watch, _ = balancer.discovery.watch()
    valid = json.loads(balancer.path.read_text())

    for text in ["{", "[" * 100_000, json.dumps(valid | {"discovery": "nowhere"}), "[]"]:
        assert balancer.reload(text)["level"] == "error", text[:20]

    watch.begin_watch()
    watch.send_endpoint_list(2, balancer.member("s2"))
    balancer.establish()


def test_new_settings_are_applied_at_once(balancer: Balancer) -> None:
    balancer.start()
    classes = [SETTINGS["classes"][0] | {"name": "other"}]

    entry = balancer.reload(name="n1", settings=SETTINGS | balancer.settings | {"classes": classes})

    assert "name" in entry["pending_restart"]
    client = balancer.client()
    client.send("OPEN 0000000000000001 k c=other,d=9000,g=a")
    assert "c=other" in balancer.server.accept_session()[1]


@pytest.mark.parametrize("settings", [SLOW_CONNECT])
def test_reload_rejects_an_invalid_setting_and_names_its_key(balancer: Balancer) -> None:
    balancer.start()
    valid = json.loads(balancer.path.read_text())
    for path, value in INVALID_SETTINGS:
        entry = balancer.reload(with_setting(valid, path, value))
        assert entry["event"] == "config_reload_rejected", (path, value)
        assert key_in_message(path) in entry["reason"], (path, value)
    balancer.check_serving(1)


@pytest.mark.parametrize("settings", [SLOW_CONNECT])
# Every fourth setting is enough: the start and a reload read them with the same code.
@pytest.mark.parametrize(("path", "value"), INVALID_SETTINGS[::4])
def test_start_rejects_an_invalid_setting_and_names_its_key(
    balancer: Balancer, path: str, value: object
) -> None:
    balancer.start(text=with_setting(balancer.config(), path, value))
    assert balancer.wait() == 2
    assert key_in_message(path) in balancer.stop()


@pytest.mark.parametrize("settings", [SLOW_CONNECT])
def test_reload_beside_the_end_of_the_old_watch_opens_one_watch(balancer: Balancer) -> None:
    balancer.start()
    watch, _ = balancer.discovery.watch()
    watch.begin_watch()
    new_discovery = Listener()
    config = json.loads(balancer.path.read_text())
    balancer.path.write_text(json.dumps(config | {"discovery": new_discovery.address}))

    with balancer.paused():
        watch.close()
        balancer.process.send_signal(signal.SIGHUP)
    balancer.wait_for_event("config_reloaded")

    call, request = new_discovery.watch()
    assert request == "GET /discovery/hosts HTTP/1.1"
    call.send("HTTP/1.1 200 OK", "Content-Length: 2", "", "{}")  # no endpoint list, so it is fetched again
    _, request = new_discovery.watch()
    assert request == "GET /discovery/hosts HTTP/1.1"
    assert select.select([new_discovery.sock, balancer.discovery.sock], [], [], 1.0)[0] == []


@pytest.mark.parametrize("settings", [SLOW_CONNECT])
@pytest.mark.parametrize(
    ("first", "second"), [(signal.SIGTERM, signal.SIGHUP), (signal.SIGHUP, signal.SIGTERM)]
)
def test_sighup_beside_sigterm_in_either_order(
    balancer: Balancer, first: signal.Signals, second: signal.Signals
) -> None:
    balancer.start()
    client, _server = balancer.establish()

    with balancer.paused():
        balancer.process.send_signal(first)
        balancer.process.send_signal(second)

    assert (client.line(), client.line()) == ("MOVE", "")
    client.close()
    assert balancer.wait() == 0
    assert '"config_reloaded"' in balancer.stop()
