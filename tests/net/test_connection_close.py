"""Requests and lines that cross the close of their connection."""

import itertools
import resource
import select
import socket
import time
from pathlib import Path
from typing import Any

import pytest
from support.balancer import SLOW_CONNECT, Balancer
from support.peer import POLL_INTERVAL_S, Peer

DESCRIPTORS = 64  # few enough to be filled
NO_READING = 4096  # bytes of a receive buffer that is soon full
TO_CLIENT, FROM_CLIENT = range(2)  # places in what `queues` returns
STUCK_AFTER_S = 0.3  # without being emptied, a queue of the kernel counts as stuck


@pytest.fixture
def settings() -> dict[str, Any]:
    return SLOW_CONNECT


def queues(local: tuple[str, int], remote: tuple[str, int]) -> tuple[int, int]:
    """Return the bytes that the kernel holds to send, and to be read, at the local end of a connection."""
    ends_wanted = f":{local[1]:04X}", f":{remote[1]:04X}"
    for row in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        _, local_end, remote_end, _, queue_sizes, *_ = row.split()
        if (local_end[-5:], remote_end[-5:]) == ends_wanted:
            to_send, _, to_read = queue_sizes.partition(":")
            return int(to_send, 16), int(to_read, 16)
    raise AssertionError("no such connection")


def is_stuck(balancer: Balancer, client: socket.socket, direction: int) -> bool:
    """Whether bytes stay in the kernel at the balancer's end: TO_CLIENT or FROM_CLIENT."""
    end_s = time.monotonic() + STUCK_AFTER_S
    while queues(balancer.listen, client.getsockname())[direction]:
        if time.monotonic() > end_s:
            return True
        time.sleep(POLL_INTERVAL_S)
    return False


@pytest.mark.parametrize("before", [b"", b"PING\r\n", b"OPEN 00000000000"])
def test_request_is_served_as_its_idle_connection_would_be_evicted(balancer: Balancer, before: bytes) -> None:
    """The oldest idle connection asks in the turn in which newcomers would have it closed for their room."""
    balancer.start(files=DESCRIPTORS)
    crowd = [balancer.client() for _ in range(2 * DESCRIPTORS)]
    crowd.append(balancer.pinged_client())  # so all have been accepted, and the first ones were closed again
    oldest = next(client for client in crowd if not select.select([client.sock], [], [], 0)[0])
    first_line = b"OPEN 0000000000000001 key1 c=web,d=9000,g=abc\r\n"
    oldest.sock.sendall(before)
    if before.startswith(b"PING"):
        assert oldest.line() == "PONG"
    else:
        balancer.counters()  # a turn in which what came of the line is read
        first_line = first_line.removeprefix(before)
    with balancer.paused():
        oldest.sock.sendall(first_line)
        newcomers = [balancer.client() for _ in range(5)]
    server, line = balancer.server.accept_session()
    assert line.startswith("OPEN 0000000000000001 key1 ")
    server.send("UP r")
    assert oldest.line() == "UP r"
    assert balancer.counters()["client_connections_evicted"] > len(newcomers)


@pytest.mark.parametrize(("end", "answer"), [("its time is up", "ERR"), ("shutting down", "BUSY 1000")])
def test_request_after_the_end_of_its_connection_is_not_forwarded(
    balancer: Balancer, end: str, answer: str
) -> None:
    """A client that rested until the balancer told it off and shut the connection asks all the same."""
    balancer.start()
    client = balancer.client()
    if end == "shutting down":
        balancer.counters()  # a turn in which it is accepted
        balancer.terminate()
    assert client.lines_to_the_end() == [answer]
    balancer.open(1, client=client)
    if end != "shutting down":
        assert balancer.check_serving(2)["attempts_established"] == 1
        balancer.terminate()
    assert balancer.wait() == 0
    assert not balancer.server.has_waiting()


def test_request_in_the_backlog_is_answered_without_a_descriptor(balancer: Balancer) -> None:
    """It is refused on the spare descriptor; a close over the unread request would reset the connection."""
    balancer.settings = balancer.settings | {"discovery": "pushed"}
    balancer.start()
    watch, _ = balancer.discovery.watch()
    watch.begin_watch()  # from here on the program opens nothing of its own accord
    numbers = [int(path.name) for path in Path(f"/proc/{balancer.process.pid}/fd").iterdir()]
    resource.prlimit(balancer.process.pid, resource.RLIMIT_NOFILE, (max(numbers) + 1, 1024))
    idle = []
    while not balancer.counters().get("clients_rejected_out_of_descriptors"):
        idle.append(balancer.client())  # they take the numbers between, until one is refused
    with balancer.paused():
        client = balancer.open(1)
    assert client.lines_to_the_end() == ["BUSY 1000"]
    resource.prlimit(balancer.process.pid, resource.RLIMIT_NOFILE, (1024, 1024))
    balancer.check_serving(2)


@pytest.mark.parametrize("behind", [0, 2 * DESCRIPTORS])
def test_one_request_among_idle_clients_that_fill_the_descriptors(balancer: Balancer, behind: int) -> None:
    """All of them stand in the backlog at once: the request last, or as many idle ones behind it again."""
    balancer.start(files=DESCRIPTORS)
    with balancer.paused():
        crowd = [balancer.client() for _ in range(2 * DESCRIPTORS)]
        client = balancer.open(1)
        crowd += [balancer.client() for _ in range(behind)]
    server, _ = balancer.server.accept_session()
    server.send("UP r")
    assert client.line() == "UP r"
    assert crowd[0].ends()
    assert not select.select([crowd[-1].sock], [], [], 0)[0]


def test_partial_line_of_a_server_is_dropped_at_its_close(balancer: Balancer) -> None:
    """The whole line before it is passed on in the same turn, and then the end."""
    balancer.start()
    client, server = balancer.establish(1)
    with balancer.paused():
        server.sock.sendall(b"whole\r\nhalf")
        server.close()
    assert client.lines_to_the_end() == ["whole"]
    balancer.check_serving(2)


def test_partial_line_of_a_server_does_not_precede_a_migration_in_one_turn(balancer: Balancer) -> None:
    """It comes while the balancer that is told to end has its clients to move."""
    balancer.start()
    client, server = balancer.establish(1)
    balancer.terminate()
    balancer.logged("shutdown_started")
    with balancer.paused():
        server.sock.sendall(b"whole\r\nhalf")
        time.sleep(3.2)  # until all are to be moved
    lines = client.lines_to_the_end()
    assert lines in (["whole", "MOVE"], ["MOVE"])
    client.close()
    assert balancer.wait() == 0
    assert server.ends()


def test_last_line_of_a_client_reaches_a_server_that_sent_a_partial_line(balancer: Balancer) -> None:
    """The client ends its connection in the same turn: the balancer closes the server's over unread bytes."""
    balancer.start()
    client, server = balancer.establish(1)
    with balancer.paused():
        client.send("last")
        client.close()
        server.sock.sendall(b"half")
    assert server.line() == "last"
    assert server.ends()


def test_last_line_in_the_kernel_survives_the_close_over_pending_bytes(balancer: Balancer) -> None:
    """The client takes nothing until the balancer has closed, and has sent lines that nobody reads."""
    balancer.server.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, NO_READING)
    balancer.start()
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, NO_READING)
    sock.connect(balancer.listen)
    client = balancer.open(1, client=Peer(sock))
    server, _ = balancer.server.accept_session()
    server.send("UP r")
    assert client.line() == "UP r"
    to_client = itertools.count()
    server.send(f"{next(to_client):0100}")
    while not is_stuck(balancer, sock, TO_CLIENT):
        server.send(f"{next(to_client):0100}")
    client.send("x" * 4000)
    # The server reads nothing, so the balancer reads no more of the client.
    while not is_stuck(balancer, sock, FROM_CLIENT):
        server.send(f"{next(to_client):0100}")  # else it would count as silent
        client.send(*["x" * 4000] * 8)  # half of what the balancer drops as it closes
    server.send("BYE")
    server.sock.shutdown(socket.SHUT_WR)
    balancer.wait_for_counter("sessions_ended_ok", 1)
    lines = client.lines_to_the_end()
    assert lines == [f"{number:0100}" for number in range(next(to_client))] + ["BYE"]
