"""SIGHUP: what a reload changes, and what it leaves alone."""

import json
import select
import signal
import time
from typing import Any

import pytest
from support.balancer import SETTINGS, SLOW_CONNECT, WITHOUT_HEALTH_CHECKS, Balancer
from support.peer import Listener

ABSURD_SETTINGS: tuple[tuple[str, object], ...] = (
    ("fleetSize", 0), ("fleetSize", "three"), ("classes.0.aimUs", 0), ("classes.0.aimUs", None),
    ("classes.0.deadlineUs", 0), ("classes.0.deadlineUs", True), ("limits.maxAttempts", 0),
    ("limits.dialTimeoutUs", -1), ("limits.dialTimeoutUs", "75"), ("limits.keepaliveUs", 0),
    ("limits.maxRetryAfterUs", -1), ("rules.coldFrom", -0.1), ("rules.tipMultiple", float("nan")),
    ("rules.warmAfterUs", -1), ("rules.fallUs", 0), ("rules.drainGraceUs", -1), ("rules.askEveryUs", 0),
    ("familyInfo.messageAimUs", [-1]), ("deductions.crossZone", float("inf")),
    ("accounts", [{"name": "a", "share": 0}]),
)  # fmt: skip
KEYS_IN_MESSAGES = {"fleetSize": "fleet"}  # where a message does not name the key itself


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


def key_of(path: str) -> str:
    """Return what the message for a bad setting at this path names."""
    key = path.rpartition(".")[2]
    return KEYS_IN_MESSAGES.get(key, key)


def test_watch_follows_the_files_discovery_and_nothing_else_changes(balancer: Balancer) -> None:
    files_discovery = Listener()
    balancer.path.write_text(json.dumps(balancer.config() | {"discovery": files_discovery.address}))
    # It goes before the file, until the file changes.
    balancer.launch(RELAY_DISCOVERY=balancer.discovery.address)
    balancer.ready()
    old, _ = balancer.discovery.watch()
    old.begin_watch()
    old.chunk(70, balancer.member("s2"))
    client, server = balancer.establish()
    balancer.reload()
    call, request = files_discovery.watch()
    # Its revisions are its own: changes since any revision told elsewhere might leave some out.
    assert request == "GET /discovery/hosts HTTP/1.1"
    assert old.line() == ""
    body = json.dumps({"revision": 2, "complete": True, "members": [balancer.member("s3")]}, indent=1)
    call.send("HTTP/1.1 200 OK", f"Content-Length: {len(body)}", "", body)
    watch, request = files_discovery.watch()
    assert "after=2 " in request
    watch.begin_watch()
    watch.chunk(3, balancer.member("s3", host_port=Listener().address))
    watch.close()
    new_watch, request = files_discovery.watch()
    assert "after=3 " in request
    client.send("still")
    assert server.line() == "still"
    balancer.reload()
    new_watch.begin_watch()
    new_watch.chunk(4, balancer.member("s3"), complete=True)
    balancer.establish(2)


def test_new_discovery_is_called_at_once_though_the_old_one_failed(balancer: Balancer) -> None:
    balancer.start()
    for _ in range(3):  # from here the next call would be two to six seconds off
        balancer.discovery.watch()[0].close()
    new = Listener()
    reloaded_at = time.monotonic()
    balancer.reload(discovery=new.address)
    new.watch()
    assert time.monotonic() - reloaded_at < 1.5


def test_unusable_file_changes_nothing(balancer: Balancer) -> None:
    balancer.start()
    watch, _ = balancer.discovery.watch()
    good = json.loads(balancer.path.read_text())
    for text in ["{", "[" * 100_000, json.dumps(good | {"discovery": "nowhere"}), "[]"]:
        assert balancer.reload(text)["level"] == "error", text[:20]
    watch.begin_watch()
    watch.chunk(2, balancer.member("s2"))
    balancer.establish()


def test_new_settings_count_at_once(balancer: Balancer) -> None:
    balancer.start()
    classes = [SETTINGS["classes"][0] | {"name": "other"}]
    entry = balancer.reload(name="n1", settings=SETTINGS | balancer.settings | {"classes": classes})
    assert "name" in entry["pending_restart"]
    client = balancer.client()
    client.send("OPEN 0000000000000001 k c=other,d=9000,g=a")
    assert "c=other" in balancer.server.accept_session()[1]


@pytest.mark.parametrize("settings", [SLOW_CONNECT])
def test_absurd_settings_are_rejected_at_a_reload_with_their_key(balancer: Balancer) -> None:
    balancer.start()
    good = json.loads(balancer.path.read_text())
    for path, value in ABSURD_SETTINGS:
        entry = balancer.reload(with_setting(good, path, value))
        assert entry["event"] == "config_reload_rejected", (path, value)
        assert key_of(path) in entry["reason"], (path, value)
    balancer.check_serving(1)


@pytest.mark.parametrize("settings", [SLOW_CONNECT])
@pytest.mark.parametrize(("path", "value"), ABSURD_SETTINGS[::4])  # a reload reads by the same code
def test_absurd_settings_are_rejected_at_the_start_with_their_key(
    balancer: Balancer, path: str, value: object
) -> None:
    balancer.start(text=with_setting(balancer.config(), path, value))
    assert balancer.wait() == 2
    assert key_of(path) in balancer.stop()


@pytest.mark.parametrize("settings", [SLOW_CONNECT])
def test_reload_beside_the_end_of_the_old_watch_opens_one_watch(balancer: Balancer) -> None:
    balancer.start()
    watch, _ = balancer.discovery.watch()
    watch.begin_watch()
    new = Listener()
    balancer.path.write_text(json.dumps(json.loads(balancer.path.read_text()) | {"discovery": new.address}))
    with balancer.paused():
        watch.close()
        balancer.process.send_signal(signal.SIGHUP)
    balancer.logged("config_reloaded")
    call, request = new.watch()
    assert request == "GET /discovery/hosts HTTP/1.1"
    call.send("HTTP/1.1 200 OK", "Content-Length: 2", "", "{}")  # no list: asked for again
    _, request = new.watch()
    assert request == "GET /discovery/hosts HTTP/1.1"
    assert select.select([new.sock, balancer.discovery.sock], [], [], 1.0)[0] == []


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
