"""Tests of the setup of a session: its attempts, client disconnects, and removed or draining servers."""

from typing import Any

import pytest
from support.balancer import SETTINGS, SLOW_CONNECT, SLOW_HEALTH_CHECKS, WITHOUT_HEALTH_CHECKS, Balancer
from support.peer import Listener, Peer


@pytest.fixture
def settings() -> dict[str, Any]:
    return SLOW_CONNECT


@pytest.mark.parametrize("settings", [{}])
def test_first_attempt_is_closed_before_the_next_is_opened(balancer: Balancer) -> None:
    balancer.start([balancer.member("s1"), balancer.member("s2")])
    client = balancer.send_open()
    first = balancer.server.accept_session()[0]
    first.send("ERR")
    second = balancer.server.accept_session()[0]
    assert first.line() == ""
    second.send("UP r2")
    assert client.line() == "UP r2"


@pytest.mark.parametrize("settings", [{}])
def test_client_that_disconnects_ends_its_attempt(balancer: Balancer) -> None:
    balancer.start()
    client = balancer.send_open()
    server = balancer.server.accept_session()[0]
    client.close()
    assert server.line() == ""


@pytest.mark.parametrize("settings", [{}])
def test_rejection_has_a_retry_after_time(balancer: Balancer) -> None:
    balancer.start([])
    keyword, _, retry_after_ms = balancer.send_open(timeout_ms=300).line().partition(" ")
    assert keyword == "BUSY"
    assert 0 < int(retry_after_ms) <= 2000


@pytest.mark.parametrize("settings", [WITHOUT_HEALTH_CHECKS])
def test_attempt_without_an_answer_times_out_before_its_client(balancer: Balancer) -> None:
    balancer.start()
    client = balancer.send_open(timeout_ms=1200)
    first = balancer.server.accept_session()[0]
    assert first.line() == ""  # closed before the client's timeout expires
    assert client.line().split()[0] in ("BUSY", "ERR")


@pytest.mark.parametrize("reset", [False, True])
def test_client_that_disconnects_while_connecting_is_not_forwarded(balancer: Balancer, reset: bool) -> None:
    balancer.start()
    backlog_sockets = balancer.server.fill_backlog()
    client = balancer.send_open(1)
    balancer.server.wait_for_connect()
    with balancer.paused():
        # The connect succeeds before the disconnect.
        server = balancer.server.accept_waiting_connection(backlog_sockets)
        client.close(reset)
    assert server.line() == ""
    balancer.server.sock.listen(100)
    balancer.check_serving(11)


def assert_upstream_ended(server: Peer, reset: bool) -> None:
    """Check that the server's connection ends without a line. It may be reset only if the client's was.

    If the balancer reads the client's reset before the server's line, it resets the server's connection.
    """
    try:
        assert server.line() == ""
    except ConnectionResetError:
        assert reset


@pytest.mark.parametrize("reset", [False, True])
def test_client_that_disconnects_between_two_attempts_is_not_forwarded(
    balancer: Balancer, reset: bool
) -> None:
    balancer.start()
    client = balancer.send_open(1)
    server, _ = balancer.server.accept_session()
    with balancer.paused():
        server.send("ERR")
        client.close(reset)
    assert_upstream_ended(server, reset)
    balancer.check_serving(11)


@pytest.mark.parametrize("reset", [False, True])
def test_session_established_as_its_client_disconnects_closes_the_upstream_side(
    balancer: Balancer, reset: bool
) -> None:
    balancer.start()
    client = balancer.send_open(1)
    server, _ = balancer.server.accept_session()
    with balancer.paused():
        server.send("UP r")
        client.close(reset)
    assert_upstream_ended(server, reset)
    balancer.check_serving(11)


@pytest.mark.parametrize("settings", [SLOW_HEALTH_CHECKS])
def test_client_that_disconnects_during_a_health_check_is_not_forwarded(balancer: Balancer) -> None:
    balancer.start()
    balancer.establish(1)  # opens the health check connection
    client = balancer.send_open(2)
    health_check = balancer.server.health_checks[0]
    assert health_check.line() == "STATS"
    with balancer.paused():
        health_check.send("PONG x0=0.3")  # arrives before the client's disconnect
        client.close()
    assert balancer.check_serving(3)["attempts_established"] == 2


@pytest.mark.parametrize("settings", [SLOW_HEALTH_CHECKS])
def test_deferred_request_is_served_though_a_reload_removes_its_class(balancer: Balancer) -> None:
    balancer.start()
    balancer.establish(1)
    client = balancer.send_open(2)
    health_check = balancer.server.health_checks[0]
    assert health_check.line() == "STATS"
    balancer.reload(settings=SETTINGS | {"classes": [SETTINGS["classes"][0] | {"name": "other"}]})
    health_check.send("PONG x0=0.3")
    server, line = balancer.server.accept_session()
    assert "c=web" in line
    server.send("UP r")
    assert client.line() == "UP r"


@pytest.mark.parametrize("settings", [SLOW_HEALTH_CHECKS])
def test_server_removed_during_its_health_check_does_not_block_requests(balancer: Balancer) -> None:
    balancer.start()
    watch, _ = balancer.discovery.watch()
    watch.begin_watch()
    balancer.establish(1)
    client = balancer.send_open(2)
    assert balancer.server.health_checks[0].line() == "STATS"  # gets no answer
    other = Listener()
    watch.send_endpoint_list(2, balancer.member("s2", host_port=other.address), complete=True)
    server, line = other.accept_session()
    assert "0000000000000002" in line
    server.send("UP r")
    assert client.line() == "UP r"


@pytest.mark.parametrize("drain_grace_us", [250_000, 2_500_000])
def test_drain_while_connecting_sends_no_open_line(balancer: Balancer, drain_grace_us: int) -> None:
    """No request is sent to a draining server, regardless of the drain grace period in the settings."""
    rules = SETTINGS["rules"] | {"drainGraceUs": drain_grace_us}
    balancer.settings = SLOW_CONNECT | {"rules": rules}
    other = Listener()
    backlog_sockets = balancer.server.fill_backlog()
    balancer.start()
    watch, _ = balancer.discovery.watch()
    watch.begin_watch()
    client = balancer.send_open()
    balancer.server.wait_for_connect()
    watch.send_endpoint_list(
        2, balancer.member(phase="draining"), balancer.member("s2", host_port=other.address)
    )
    balancer.wait_for_counter("events_endpoint_update", 2)
    server = balancer.server.accept_waiting_connection(backlog_sockets)
    assert server.line() == ""
    second, line = other.accept_session()
    assert "0000000000000001" in line
    second.send("UP r")
    assert client.line() == "UP r"


def test_server_removed_while_connecting_gets_no_open_line(balancer: Balancer) -> None:
    other = Listener()
    backlog_sockets = balancer.server.fill_backlog()
    balancer.start()
    watch, _ = balancer.discovery.watch()
    watch.begin_watch()
    _client = balancer.send_open()
    balancer.server.wait_for_connect()
    watch.send_endpoint_list(2, balancer.member("s2", host_port=other.address), complete=True)
    balancer.wait_for_counter("events_endpoint_update", 2)
    assert balancer.server.accept_waiting_connection(backlog_sockets).line() == ""
    assert "0000000000000001" in other.accept_session()[1]
