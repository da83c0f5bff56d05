"""Tests of retries of requests with an idempotency key, within and after the deduplication window."""

import time
from typing import Any

import pytest
from support.balancer import SLOW_CONNECT, Balancer, with_class

WINDOW_US = 3_000_000  # longer than the kernel takes to retransmit a SYN
AFTER_THE_WINDOW_S = 3.2


@pytest.fixture
def settings() -> dict[str, Any]:
    return SLOW_CONNECT


@pytest.mark.parametrize(("scope", "answer"), [("all", "BUSY"), ("zone", "ERR")])
def test_keyed_request_that_fails_after_its_window_is_not_retried(
    balancer: Balancer, scope: str, answer: str
) -> None:
    """The balancer reads the failed answer after the window has ended."""
    balancer.settings = balancer.settings | with_class("dedup", scope, 300_000)
    balancer.start()
    client = balancer.send_open(1)
    server, _ = balancer.server.accept_session()
    with balancer.paused():
        server.send("ERR")
        time.sleep(0.35)
    assert [line.split()[0] for line in client.lines_to_the_end()] == [answer]
    assert not balancer.server.has_waiting_connection()


@pytest.mark.parametrize(("scope", "answer"), [("all", "BUSY"), ("zone", "ERR")])
def test_keyed_retry_that_connects_after_the_window_is_not_sent(
    balancer: Balancer, scope: str, answer: str
) -> None:
    """The retry starts within the window, but its open line would be sent after the window."""
    balancer.settings = balancer.settings | with_class("dedup", scope, WINDOW_US)
    balancer.start()
    client = balancer.send_open(1)
    first, _ = balancer.server.accept_session()
    sent_s = time.monotonic()
    backlog_sockets = balancer.server.fill_backlog()
    first.send("ERR")
    balancer.server.wait_for_connect()
    with balancer.paused():
        second = balancer.server.accept_waiting_connection(backlog_sockets)
        time.sleep(max(0.0, sent_s + AFTER_THE_WINDOW_S - time.monotonic()))
    assert second.line() == ""
    assert [line.split()[0] for line in client.lines_to_the_end()] == [answer]
    assert not balancer.server.has_waiting_connection()


def test_keyed_retry_that_connects_within_the_window_is_sent(balancer: Balancer) -> None:
    """The events are the same as in the previous test, but the window is longer."""
    balancer.settings = balancer.settings | with_class("dedup", "zone", 60_000_000)
    balancer.start()
    client = balancer.send_open(1)
    first, _ = balancer.server.accept_session()
    backlog_sockets = balancer.server.fill_backlog()
    first.send("ERR")
    balancer.server.wait_for_connect()
    with balancer.paused():
        second = balancer.server.accept_waiting_connection(backlog_sockets)
    assert second.line().startswith("OPEN 0000000000000001 ")
    second.send("UP r2")
    assert client.line() == "UP r2"
