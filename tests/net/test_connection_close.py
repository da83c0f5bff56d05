"""Tests of requests and lines that arrive while their connection is being closed."""

import itertools
import resource
import select
import socket
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import pytest
from support.balancer import SLOW_CONNECT, Balancer
from support.peer import POLL_INTERVAL_S, Peer

DESCRIPTORS = 64  # low enough that a test can exhaust it
RECEIVE_BUFFER_BYTES = 4096  # small, so that it fills quickly
STUCK_AFTER_S = 0.3  # a kernel queue that is not emptied within this time is stuck


class KernelQueues(NamedTuple):
    """Number of bytes in the kernel's queues at one end of a connection."""

    to_send: int
    to_read: int


@pytest.fixture
def settings() -> dict[str, Any]:
    return SLOW_CONNECT


def kernel_queues(balancer: Balancer, client: socket.socket) -> KernelQueues:
    """Return the kernel queues at the balancer's end of a client connection."""
    local_port = f":{balancer.listen[1]:04X}"
    remote_port = f":{client.getsockname()[1]:04X}"
    for row in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        _, local_end, remote_end, _, queue_sizes, *_ = row.split()
        if local_end.endswith(local_port) and remote_end.endswith(remote_port):
            to_send, _, to_read = queue_sizes.partition(":")
            return KernelQueues(int(to_send, 16), int(to_read, 16))
    raise AssertionError(f"no connection from {remote_port} to {local_port}")


def stays_filled(queue_bytes: Callable[[], int]) -> bool:
    """Return whether a queue is not emptied within STUCK_AFTER_S."""
    end_s = time.monotonic() + STUCK_AFTER_S
    while queue_bytes():
        if time.monotonic() > end_s:
            return True
        time.sleep(POLL_INTERVAL_S)
    return False


def connect_with_small_receive_buffer(balancer: Balancer) -> Peer:
    """Connect a client with a small receive buffer."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.connect(balancer.listen)
    return Peer(sock)


def has_ended(client: Peer) -> bool:
    """Return whether the connection is already closed. The client must not have been sent any data."""
    return bool(select.select([client.sock], [], [], 0)[0])


def use_up_descriptors(balancer: Balancer) -> list[Peer]:
    """Lower the balancer's descriptor limit and connect clients until one is rejected. Return them."""
    descriptors = [int(path.name) for path in Path(f"/proc/{balancer.process.pid}/fd").iterdir()]
    resource.prlimit(balancer.process.pid, resource.RLIMIT_NOFILE, (max(descriptors) + 1, 1024))
    idle = []
    while not balancer.counters().get("clients_rejected_out_of_descriptors"):
        idle.append(balancer.client())
    return idle


@pytest.mark.parametrize("before", [b"", b"PING\r\n", b"OPEN 00000000000"])
def test_request_is_served_as_its_idle_connection_would_be_evicted(balancer: Balancer, before: bytes) -> None:
    """The oldest idle client sends its request in the event loop iteration that would evict it."""
    balancer.start(files=DESCRIPTORS)
    idle = [balancer.client() for _ in range(2 * DESCRIPTORS)]
    idle.append(balancer.pinged_client())  # answered after all are accepted and the first evicted
    oldest = next(client for client in idle if not has_ended(client))
    first_line = b"OPEN 0000000000000001 key1 c=web,d=9000,g=abc\r\n"
    oldest.sock.sendall(before)
    if before.startswith(b"PING"):
        assert oldest.line() == "PONG"
    else:
        balancer.counters()  # returns after the balancer has read the partial line
        first_line = first_line.removeprefix(before)
    with balancer.paused():
        oldest.sock.sendall(first_line)
        new_clients = [balancer.client() for _ in range(5)]
    server, line = balancer.server.accept_session()
    assert line.startswith("OPEN 0000000000000001 key1 ")
    server.send("UP r")
    assert oldest.line() == "UP r"
    assert balancer.counters()["client_connections_evicted"] > len(new_clients)


@pytest.mark.parametrize(
    ("is_shutdown", "answer"), [(False, "ERR"), (True, "BUSY 1000")], ids=["timeout", "shutdown"]
)
def test_request_after_the_end_of_its_connection_is_not_forwarded(
    balancer: Balancer, is_shutdown: bool, answer: str
) -> None:
    """A client sends its first line after the balancer has sent a final answer and closed its side."""
    balancer.start()
    client = balancer.client()
    if is_shutdown:
        balancer.counters()  # returns after the balancer has accepted the client
        balancer.terminate()
    assert client.lines_to_the_end() == [answer]
    balancer.send_open(1, client=client)
    if not is_shutdown:
        assert balancer.check_serving(2)["attempts_established"] == 1
        balancer.terminate()
    assert balancer.wait() == 0
    assert not balancer.server.has_waiting_connection()


def test_request_in_the_backlog_is_answered_without_a_descriptor(balancer: Balancer) -> None:
    """The client is rejected using the spare descriptor, without a reset because of its unread request."""
    balancer.settings = balancer.settings | {"discovery": "pushed"}
    balancer.start()
    watch, _ = balancer.discovery.watch()
    watch.begin_watch()  # while the watch is open, the balancer opens no connections itself
    _idle = use_up_descriptors(balancer)
    with balancer.paused():
        client = balancer.send_open(1)
    assert client.lines_to_the_end() == ["BUSY 1000"]
    resource.prlimit(balancer.process.pid, resource.RLIMIT_NOFILE, (1024, 1024))
    balancer.check_serving(2)


@pytest.mark.parametrize("idle_after_request", [0, 2 * DESCRIPTORS])
def test_one_request_among_idle_clients_that_fill_the_descriptors(
    balancer: Balancer, idle_after_request: int
) -> None:
    """All clients are in the backlog at the same time."""
    balancer.start(files=DESCRIPTORS)
    with balancer.paused():
        idle = [balancer.client() for _ in range(2 * DESCRIPTORS)]
        client = balancer.send_open(1)
        idle += [balancer.client() for _ in range(idle_after_request)]
    server, _ = balancer.server.accept_session()
    server.send("UP r")
    assert client.line() == "UP r"
    assert idle[0].wait_for_end()
    assert not has_ended(idle[-1])


def test_partial_line_of_a_server_is_dropped_at_its_close(balancer: Balancer) -> None:
    """The preceding complete line is relayed in the same event loop iteration, followed by the close."""
    balancer.start()
    client, server = balancer.establish(1)
    with balancer.paused():
        server.sock.sendall(b"whole\r\nhalf")
        server.close()
    assert client.lines_to_the_end() == ["whole"]
    balancer.check_serving(2)


def test_partial_line_of_a_server_does_not_precede_a_migration_in_one_turn(balancer: Balancer) -> None:
    """The partial line arrives in the event loop iteration in which the shutdown migrates the client."""
    balancer.start()
    client, server = balancer.establish(1)
    balancer.begin_shutdown()
    with balancer.paused():
        server.sock.sendall(b"whole\r\nhalf")
        time.sleep(3.2)  # the migrations end within this time
    lines = client.lines_to_the_end()
    assert lines in (["whole", "MOVE"], ["MOVE"])
    client.close()
    assert balancer.wait() == 0
    assert server.wait_for_end()


def test_last_line_of_a_client_reaches_a_server_that_sent_a_partial_line(balancer: Balancer) -> None:
    """The client disconnects as the partial line arrives, so the server side is closed with unread bytes."""
    balancer.start()
    client, server = balancer.establish(1)
    with balancer.paused():
        client.send("last")
        client.close()
        server.sock.sendall(b"half")
    assert server.line() == "last"
    assert server.wait_for_end()


def test_last_line_in_the_kernel_survives_the_close_over_pending_bytes(balancer: Balancer) -> None:
    """The client reads nothing until the balancer has closed, and has sent lines that are never read."""
    balancer.server.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    balancer.start()
    client = balancer.send_open(1, client=connect_with_small_receive_buffer(balancer))
    server, _ = balancer.server.accept_session()
    server.send("UP r")
    assert client.line() == "UP r"
    numbers = itertools.count()
    server.send(f"{next(numbers):0100}")
    while not stays_filled(lambda: kernel_queues(balancer, client.sock).to_send):
        server.send(f"{next(numbers):0100}")
    client.send("x" * 4000)
    # The server reads nothing, so the balancer stops reading from the client.
    while not stays_filled(lambda: kernel_queues(balancer, client.sock).to_read):
        server.send(f"{next(numbers):0100}")  # prevents the server from counting as unresponsive
        client.send(*["x" * 4000] * 8)  # half of MAX_DISCARDED_BYTES
    server.send("BYE")
    server.sock.shutdown(socket.SHUT_WR)
    balancer.wait_for_counter("sessions_ended_ok", 1)
    lines = client.lines_to_the_end()
    assert lines == [f"{number:0100}" for number in range(next(numbers))] + ["BYE"]
