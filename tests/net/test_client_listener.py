"""Tests of accepting clients within the file descriptor limit."""

import re
import resource
import select
from itertools import count

import pytest
from support.balancer import SETTINGS, WITHOUT_HEALTH_CHECKS, Balancer
from support.peer import Peer

from wheatstile.net.client_listener import MAX_RECENT_IDS

SHORT_DEADLINE = WITHOUT_HEALTH_CHECKS | {"classes": [SETTINGS["classes"][0] | {"deadlineUs": 1500000}]}


def try_to_establish(balancer: Balancer, number: int) -> tuple[Peer, Peer] | None:
    """Establish a session. Return the peers (client, server), or None if the client was rejected."""
    client = balancer.send_open(number)
    session = balancer.server.accept_session_unless_readable(client.sock)
    if session is None:
        assert re.search("^BUSY [1-9]", client.line())
        return None
    server, _ = session
    server.send("UP r")
    assert client.line() == "UP r"
    return client, server


def test_oldest_pending_connections_are_evicted(balancer: Balancer) -> None:
    balancer.start(files=64)
    idle = [balancer.client() for _ in range(100)]  # each holds a descriptor
    balancer.establish(1)
    assert idle[0].line() == ""
    assert select.select([idle[-1].sock], [], [], 0)[0] == []


def test_clients_are_rejected_while_out_of_descriptors_and_served_afterwards(balancer: Balancer) -> None:
    balancer.start(files=64)
    numbers = count(2)
    established: list[tuple[Peer, Peer]] = []
    while peers := try_to_establish(balancer, next(numbers)):
        established.append(peers)
        assert len(established) < 32
    established.pop(0)[0].close()
    while not try_to_establish(balancer, next(numbers)):
        pass


def test_running_out_of_descriptors_is_not_reported_as_a_server_failure(balancer: Balancer) -> None:
    balancer.start()
    client = balancer.pinged_client()
    resource.prlimit(balancer.process.pid, resource.RLIMIT_NOFILE, (3, 1024))
    client.send(f"OPEN {1:016x} key c=web,d=9000,g=a")
    counters: dict[str, int] = {}
    while not counters.get("health_checks_not_sent"):
        counters = balancer.counters()
    resource.prlimit(balancer.process.pid, resource.RLIMIT_NOFILE, (1024, 1024))
    balancer.server.accept_session()[0].send("UP r")
    assert client.line() == "UP r"
    assert "health_checks_connect_failed" not in counters


def test_health_checks_of_many_servers_leave_descriptors_for_clients(balancer: Balancer) -> None:
    balancer.start([balancer.member(f"s{number}") for number in range(60)], files=100)
    established = [balancer.establish(number, f"g{number}") for number in range(1, 25)]
    assert len(established) == 24
    assert len(balancer.server.health_checks) <= 12  # a limit of 10, plus connections that are being closed


@pytest.mark.parametrize("settings", [SHORT_DEADLINE])
def test_request_with_the_id_of_an_open_session_is_rejected_even_if_the_session_is_old(
    balancer: Balancer,
) -> None:
    balancer.start([balancer.member("s1"), balancer.member("s2", phase="draining")])
    client, server = balancer.establish(0)
    for number in range(1, MAX_RECENT_IDS + 104):
        balancer.send_open(number, 0).line()
    repeat = balancer.send_open(0)
    assert (repeat.line(), repeat.line()) == ("ERR", "")
    balancer.terminate()
    assert (client.line(), client.line()) == ("MOVE", "")
    server.close()
