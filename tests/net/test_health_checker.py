"""Tests of health checks: idle connections, repeated checks, unexpected answers, and the timeout."""

from typing import Any

import pytest
from support.balancer import SLOW_HEALTH_CHECKS, Balancer
from support.peer import Peer

from wheatstile.config.platform import UpstreamLimits


@pytest.fixture
def settings() -> dict[str, Any]:
    return SLOW_HEALTH_CHECKS


def start_with_pending_check(balancer: Balancer) -> tuple[Peer, Peer]:
    """Start the balancer and trigger a health check on the idle connection by a second request.

    Returns the connection with the unanswered check, and the client of the second request.
    """
    balancer.start()
    balancer.establish(1)
    client = balancer.send_open(2)
    health_check = balancer.server.health_checks.pop()
    assert health_check.line() == "STATS"
    return health_check, client


def serve_waiting_client(balancer: Balancer, client: Peer) -> dict[str, int]:
    """Answer any health check and establish the waiting client's session. Return the counters."""
    server, line = balancer.server.accept_session()
    assert "0000000000000002" in line
    server.send("UP r")
    assert client.line() == "UP r"
    return balancer.counters()


@pytest.mark.parametrize("reset", [False, True])
def test_idle_connection_that_ends_as_a_check_is_sent_is_no_failure(balancer: Balancer, reset: bool) -> None:
    health_check, client = start_with_pending_check(balancer)
    health_check.close(reset)  # the balancer cannot know whether the server received the check
    counters = serve_waiting_client(balancer, client)
    assert counters.get("health_checks_repeated") == 1
    assert "health_checks_reset" not in counters


@pytest.mark.parametrize(("objective_ms", "timeout_s"), [(50.0, 0.1), (100.0, 0.2), (0.0, 0.25)])
def test_health_check_timeout_is_twice_the_shortest_latency_objective(
    objective_ms: float, timeout_s: float
) -> None:
    assert UpstreamLimits(0.25, 15.0, True, objective_ms, 100).health_check_timeout_s == timeout_s


def test_new_connection_that_ends_as_a_check_is_sent_is_a_failure(balancer: Balancer) -> None:
    health_check, _client = start_with_pending_check(balancer)
    health_check.close()
    new_connection = balancer.server.accept()
    assert new_connection.line() == "STATS"
    new_connection.close()
    balancer.wait_for_counter("health_checks_reset", 1)


def test_unexpected_second_answer_is_not_taken_for_that_of_the_next_check(balancer: Balancer) -> None:
    health_check, client = start_with_pending_check(balancer)
    health_check.send("PONG x0=0.3", "PONG x0=0.99")
    serve_waiting_client(balancer, client)
    _client = balancer.send_open(3)
    assert health_check.line() == ""
    new_connection = balancer.server.accept()
    assert new_connection.line() == "STATS"
