"""Tests of client connections: the first line, and how connections end."""

import re
import select
import time
from typing import Any

import pytest
from support.balancer import SETTINGS, SLOW_CONNECT, WITHOUT_HEALTH_CHECKS, Balancer
from support.peer import TIMEOUT_S

from wheatstile.net.first_line_reader import FIRST_LINE_TIMEOUT_S

MAX_BUFFERED_BYTES = 32 << 20  # more than the kernel buffers
SHORT_DEADLINE = WITHOUT_HEALTH_CHECKS | {"classes": [SETTINGS["classes"][0] | {"deadlineUs": 1500000}]}


@pytest.fixture
def settings() -> dict[str, Any]:
    return SLOW_CONNECT


@pytest.mark.parametrize("settings", [SHORT_DEADLINE])
def test_client_without_a_complete_first_line_is_closed_in_time(balancer: Balancer) -> None:
    balancer.start()
    started_s = time.monotonic()
    silent = balancer.client()
    partial = balancer.client()
    partial.sock.sendall(b"OPEN 00000000000")
    for client in (silent, partial):
        assert client.line() in ("ERR", "")
    assert time.monotonic() - started_s < 4.0  # the protocol allows 3 s; 1 s is margin for a busy machine


@pytest.mark.parametrize("settings", [SHORT_DEADLINE])
def test_endless_line_gets_an_error_and_is_not_read_further(balancer: Balancer) -> None:
    balancer.start()
    client = balancer.client()
    client.sock.setblocking(False)
    sent = 0
    answer = b""
    while True:
        ready, free, _ = select.select([client.sock], [client.sock], [], TIMEOUT_S)
        try:
            if ready and not answer:
                answer = client.sock.recv(100)
            if free:
                sent += client.sock.send(b"x" * 65536)
        except (ConnectionResetError, BrokenPipeError):
            break
        except BlockingIOError:
            pass
    assert answer == b"ERR\r\n"
    assert sent < MAX_BUFFERED_BYTES  # the balancer has not read all of it


@pytest.mark.parametrize("settings", [SHORT_DEADLINE])
def test_client_timeout_is_bounded_by_the_deadline_of_the_class(balancer: Balancer) -> None:
    balancer.start()
    client = balancer.send_open(1, 999999999)
    server = balancer.server.accept_session()[0]  # sends no answer
    assert server.line() == ""
    assert client.line().split()[0] in ("BUSY", "ERR")
    client = balancer.client()
    client.send(f"OPEN {2:016x} k c=web,d=900,g=a,h={'9' * 400}")
    assert client.line() == "ERR"


@pytest.mark.parametrize("reset", [False, True])
def test_client_that_disconnects_in_the_backlog_is_not_forwarded(balancer: Balancer, reset: bool) -> None:
    balancer.start()
    with balancer.paused():
        balancer.send_open(1).close(reset)
    balancer.check_serving(11)


def test_client_that_sends_more_and_disconnects_is_not_forwarded(balancer: Balancer) -> None:
    balancer.start()
    with balancer.paused():
        client = balancer.send_open(1)
        client.send("and more")
        client.close()
    balancer.check_serving(2)


@pytest.mark.parametrize("reset", [False, True])
def test_client_that_disconnects_as_its_last_line_is_sent(balancer: Balancer, reset: bool) -> None:
    balancer.start([])
    client = balancer.send_open(1, timeout_ms=200)
    assert re.search("^BUSY", client.line())
    client.close(reset)
    assert "client_connections_failed" not in balancer.wait_for_counter("sessions_rejected", 1)


def test_request_after_pong_is_served_as_the_timeout_expires(balancer: Balancer) -> None:
    balancer.start()
    requesting = balancer.pinged_client()
    silent = balancer.pinged_client()
    with balancer.paused():
        time.sleep(FIRST_LINE_TIMEOUT_S + 0.1)
        balancer.send_open(1, client=requesting)
    server, line = balancer.server.accept_session()
    assert "0000000000000001" in line
    server.send("UP r")
    assert requesting.line() == "UP r"
    assert silent.line() == ""
    balancer.check_serving(2)
