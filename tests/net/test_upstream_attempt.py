"""Tests of attempts with a slow connect or an incomplete answer."""

import time
from contextlib import suppress
from typing import Any

import pytest
from support.balancer import SLOW_CONNECT, Balancer, with_class
from support.peer import Listener


@pytest.fixture
def settings() -> dict[str, Any]:
    return SLOW_CONNECT


@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize("part", ["", "U", "UP r", "BUSY", "ERR\r"])
def test_incomplete_answer_is_a_failed_attempt_and_is_not_relayed(
    balancer: Balancer, part: str, reset: bool
) -> None:
    """A line without a line ending is not an answer. An idempotent request is retried."""
    balancer.start()
    client = balancer.send_open(1)
    first, _ = balancer.server.accept_session()
    first.sock.sendall(part.encode())
    first.close(reset)
    second, line = balancer.server.accept_session()
    assert line.startswith("OPEN 0000000000000001 ")
    second.send("UP r2")
    assert client.line() == "UP r2"
    second.close()
    assert client.lines_to_the_end() == []


@pytest.mark.parametrize("part", ["UP r", "BUSY"])
def test_incomplete_answer_is_not_retried_where_the_request_may_have_run(
    balancer: Balancer, part: str
) -> None:
    """A non-idempotent request fails with ERR. `BUSY` would permit the client to retry it."""
    balancer.settings = balancer.settings | with_class("fragile")
    balancer.start()
    client = balancer.send_open(1)
    server, _ = balancer.server.accept_session()
    server.sock.sendall(part.encode())
    server.close()
    assert client.lines_to_the_end() == ["ERR"]
    assert not balancer.server.has_waiting_connection()


@pytest.mark.parametrize("answer", [b"UP " + b"r" * 100_000, b"UP r"], ids=["flood", "partial line"])
def test_answer_without_an_end_is_closed_before_the_next_attempt(balancer: Balancer, answer: bytes) -> None:
    """A line that is too long fails the attempt immediately, a partial line at the attempt's timeout."""
    balancer.start()
    client = balancer.send_open(1, timeout_ms=6000)
    first, _ = balancer.server.accept_session()
    with suppress(ConnectionError):  # the balancer may close the connection during the flood
        first.sock.sendall(answer)
    second, line = balancer.server.accept_session()
    assert line.startswith("OPEN 0000000000000001 ")
    assert first.wait_for_end()
    second.send("UP r2")
    assert client.line() == "UP r2"


def test_endless_line_of_a_server_ends_the_session(balancer: Balancer) -> None:
    """The preceding line is relayed, but no part of the endless line."""
    balancer.start()
    client, server = balancer.establish(1)
    with suppress(ConnectionError):
        server.sock.sendall(b"whole\r\n" + b"x" * 100_000)
    assert client.lines_to_the_end() == ["whole"]
    assert server.wait_for_end()
    balancer.check_serving(2)


def test_slow_connect_is_used_with_the_remaining_time(balancer: Balancer) -> None:
    """The open line carries at most the remainder of the client's timeout."""
    balancer.start()
    backlog_sockets = balancer.server.fill_backlog()
    started_s = time.monotonic()
    client = balancer.send_open(1, timeout_ms=9000)
    balancer.server.wait_for_connect()
    with balancer.paused():
        server = balancer.server.accept_waiting_connection(backlog_sockets)
        time.sleep(max(0.0, started_s + 1.5 - time.monotonic()))
    line = server.line()
    assert line.startswith("OPEN 0000000000000001 ")
    timeout_ms = int(line.partition("d=")[2].partition(",")[0])
    assert 0 < timeout_ms <= 9000 - 1500
    server.send("UP r")
    assert client.line() == "UP r"


def test_connect_timeout_closes_the_attempt_before_the_next(balancer: Balancer) -> None:
    """The connect timeout in the settings is 1 s. There are never two attempts at the same time."""
    balancer.settings = balancer.settings | {"limits": SLOW_CONNECT["limits"] | {"dialTimeoutUs": 1_000_000}}
    balancer.start()
    watch, _ = balancer.discovery.watch()
    watch.begin_watch()
    backlog_sockets = balancer.server.fill_backlog()
    other = Listener()
    client = balancer.send_open(1)
    balancer.server.wait_for_connect()
    watch.send_endpoint_list(2, balancer.member("s2", host_port=other.address))
    server, line = other.accept_session()
    assert line.startswith("OPEN 0000000000000001 ")
    assert not balancer.server.is_connecting()
    server.send("UP r")
    assert client.line() == "UP r"
    assert len(backlog_sockets) > 0  # this use keeps the sockets open, and so the backlog full, until the end
