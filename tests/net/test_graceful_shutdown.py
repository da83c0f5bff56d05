"""SIGTERM: clients are still served, then migrated, and everybody gets an answer."""

import re
import time
from typing import Any

import pytest
from support.balancer import SLOW_CONNECT, Balancer


@pytest.fixture
def settings() -> dict[str, Any]:
    return SLOW_CONNECT


@pytest.mark.parametrize("settings", [{}])
def test_clients_are_still_accepted_and_then_migrated(balancer: Balancer) -> None:
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
    standing, _server = balancer.establish(1)
    waiting = balancer.open(2)
    attempt = balancer.server.accept_session()[0]
    _silent = balancer.client()
    terminated_at = time.monotonic()
    balancer.terminate()
    assert (standing.line(), standing.line()) == ("MOVE", "")
    assert re.search("^BUSY [1-9]", waiting.line())
    assert attempt.line() == ""
    for client in (standing, waiting):
        client.close()
    assert balancer.wait() == 0
    # 3.7 s are promised; neither the longest deadline, of 9 s, nor the silent channel may count.
    assert time.monotonic() - terminated_at < 7.0


def test_migration_beside_the_clients_end(balancer: Balancer) -> None:
    balancer.start()
    client, server = balancer.establish()
    balancer.terminate()
    balancer.logged("shutdown_started")
    with balancer.paused():
        client.close()
        time.sleep(3.2)  # until all are to be moved
    assert server.line() == ""
    assert balancer.wait() == 0


def test_established_beside_the_shutdown_is_one_answer_and_a_migration(balancer: Balancer) -> None:
    balancer.start()
    client = balancer.open()
    server, _ = balancer.server.accept_session()
    balancer.terminate()
    balancer.logged("shutdown_started")
    with balancer.paused():
        server.send("UP r")
        time.sleep(3.2)  # until whoever is not up is answered
    lines = [client.line(), client.line(), client.line()]
    assert lines[0].split()[0] in ("UP", "BUSY")
    assert lines[1:] == (["MOVE", ""] if lines[0] == "UP r" else ["", ""])


def test_client_that_has_sent_nothing_is_rejected(balancer: Balancer) -> None:
    balancer.start()
    silent = balancer.client()
    half = balancer.client()
    half.sock.sendall(b"OPEN 00000000000")
    pinging = balancer.pinged_client()
    balancer.terminate()
    balancer.logged("shutdown_started")
    time.sleep(1.5)  # FIRST_LINE_WITHIN would have ended the first ones
    late = balancer.client()
    assert (late.line(), late.line()) == ("BUSY 1000", "")
    for client in (silent, half):
        assert client.line() in ("ERR", "BUSY 1000")
    assert pinging.line() == ""


def test_request_after_pong_is_answered_during_the_shutdown(balancer: Balancer) -> None:
    balancer.start()
    balancer.terminate()
    balancer.logged("shutdown_started")
    resting = [balancer.pinged_client() for _ in range(3)]
    with balancer.paused():
        time.sleep(1.9)  # with nobody to move it closes 1.7 s after the signal
        for number, client in enumerate(resting, 1):
            balancer.open(number, client=client)
    for client in resting:
        assert re.search("^BUSY [1-9]", client.line())
    assert balancer.wait() == 0


def test_clients_in_the_backlog_are_answered_however_late_it_is(balancer: Balancer) -> None:
    balancer.start()
    balancer.terminate()
    balancer.logged("shutdown_started")
    with balancer.paused():
        clients = [balancer.open(number) for number in range(1, 21)]
        silent = balancer.client()
        time.sleep(3.8)  # it stands still through all of its end
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
    balancer.logged("shutdown_started")
    time.sleep(1.5)
    late = balancer.client()
    assert (late.line(), late.line()) == (rejection, "")
