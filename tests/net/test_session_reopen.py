"""Tests of reopening sessions that were established before the process started."""

import select

import pytest
from support.balancer import WITHOUT_HEALTH_CHECKS, Balancer

SHORT_CONNECT = WITHOUT_HEALTH_CHECKS | {"limits": WITHOUT_HEALTH_CHECKS["limits"] | {"dialTimeoutUs": 75000}}


def test_session_is_reopened_at_its_server(balancer: Balancer) -> None:
    balancer.start()
    client = balancer.send_open(3, 4294967, ",at=s1")
    server, line = balancer.server.accept_session()
    assert line.endswith("c=web,d=4294967,g=abc,at=s1"), line
    server.send("UP r3")
    assert client.line() == "UP r3"


@pytest.mark.parametrize("settings", [SHORT_CONNECT])
def test_session_is_reopened_at_a_server_that_is_slow_to_accept(balancer: Balancer) -> None:
    balancer.start()
    backlog_sockets = balancer.server.fill_backlog()
    client = balancer.send_open(3, 4294967, ",at=s1")
    assert select.select([client.sock], [], [], 0.5)[0] == []  # the balancer is still connecting
    for sock in backlog_sockets:
        sock.close()
    while not (line := balancer.server.accept().line()):
        pass
    assert "at=s1" in line
