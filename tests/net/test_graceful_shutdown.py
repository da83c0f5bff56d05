"""Tests of the shutdown after SIGTERM: clients are served, then migrated, and each gets an answer."""

import re
import time
from typing import Any

import pytest
from support.balancer import SLOW_CONNECT, Balancer


@pytest.fixture
def settings() -> dict[str, Any]:
    return SLOW_CONNECT


@pytest.mark.parametrize("settings", [{}])
def test_clients_are_accepted_during_the_shutdown_and_then_migrated(balancer: Balancer) -> None:
    balancer.start()
    client, server = balancer.establish(1)
    balancer.terminate()
    late, _ = balancer.establish(2)
    assert (client.line(), client.line()) == ("MOVE", "")
    assert (late.line(), late.line()) == ("MOVE", "")
    assert server.line() == ""
    client.close()
    late.close()
    assert balancer.wait() == 0


@pytest.mark.parametrize("settings", [{}])
def test_unanswered_clients_are_answered_in_time(balancer: Balancer) -> None:
    balancer.start()
    established, _server = balancer.establish(1)
    waiting = balancer.send_open(2)
    attempt = balancer.server.accept_session()[0]
    _silent = balancer.client()
    terminated_s = time.monotonic()
    balancer.terminate()
    assert (established.line(), established.line()) == ("MOVE", "")
    assert re.search("^BUSY [1-9]", waiting.line())
    assert attempt.line() == ""
    for client in (established, waiting):
        client.close()
    assert balancer.wait() == 0
    # The shutdown may take 3.7 s. Neither the deadline of 9 s nor the silent client must prolong it.
    assert time.monotonic() - terminated_s < 7.0


def test_client_that_disconnects_as_it_is_migrated_closes_the_upstream_side(balancer: Balancer) -> None:
    balancer.start()
    client, server = balancer.establish()
    balancer.begin_shutdown()
    with balancer.paused():
        client.close()
        time.sleep(3.2)  # the migrations end within this time
    assert server.line() == ""
    assert balancer.wait() == 0


def test_session_established_as_the_shutdown_ends_is_answered_once_and_migrated(balancer: Balancer) -> None:
    balancer.start()
    client = balancer.send_open()
    server, _ = balancer.server.accept_session()
    balancer.begin_shutdown()
    with balancer.paused():
        server.send("UP r")
        time.sleep(3.2)  # all clients without a session are rejected within this time
    lines = [client.line(), client.line(), client.line()]
    assert lines[0].split()[0] in ("UP", "BUSY")
    assert lines[1:] == (["MOVE", ""] if lines[0] == "UP r" else ["", ""])


def test_client_that_has_sent_nothing_is_rejected(balancer: Balancer) -> None:
    balancer.start()
    silent = balancer.client()
    partial = balancer.client()
    partial.sock.sendall(b"OPEN 00000000000")
    pinging = balancer.pinged_client()
    balancer.terminate()
    balancer.wait_for_event("shutdown_started")
    time.sleep(1.5)  # the first clients may reach FIRST_LINE_TIMEOUT_S by now
    late = balancer.client()
    assert (late.line(), late.line()) == ("BUSY 1000", "")
    for client in (silent, partial):
        assert client.line() in ("ERR", "BUSY 1000")
    assert pinging.line() == ""


def test_request_after_pong_is_answered_during_the_shutdown(balancer: Balancer) -> None:
    balancer.start()
    balancer.begin_shutdown()
    clients = [balancer.pinged_client() for _ in range(3)]
    with balancer.paused():
        time.sleep(1.9)  # without a session to migrate, the listener is closed 1.7 s after the signal
        for number, client in enumerate(clients, 1):
            balancer.send_open(number, client=client)
    for client in clients:
        assert re.search("^BUSY [1-9]", client.line())
    assert balancer.wait() == 0


def test_clients_in_the_backlog_are_answered_however_late_it_is(balancer: Balancer) -> None:
    balancer.start()
    balancer.begin_shutdown()
    with balancer.paused():
        clients = [balancer.send_open(number) for number in range(1, 21)]
        silent = balancer.client()
        time.sleep(3.8)  # longer than the whole shutdown
    for client in clients:
        assert re.search("^BUSY [1-9]", client.line())
    assert silent.line() == "BUSY 1000"
    assert balancer.wait() == 0


@pytest.mark.parametrize(
    ("limits", "rejection"), [({"retryAfter": False}, "BUSY"), ({"maxRetryAfterUs": 300_000}, "BUSY 300")]
)
def test_retry_after_is_bounded_by_the_settings(
    balancer: Balancer, limits: dict[str, Any], rejection: str
) -> None:
    balancer.settings = SLOW_CONNECT | {"limits": SLOW_CONNECT["limits"] | limits}
    balancer.start()
    balancer.terminate()
    balancer.wait_for_event("shutdown_started")
    time.sleep(1.5)
    late = balancer.client()
    assert (late.line(), late.line()) == (rejection, "")
