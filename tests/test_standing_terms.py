"""The terms that the newer standing test adds, each forced from outside. The table: docs/crossings.md.

As in test_crossings.py the program is stopped while its peers act, so that what they did meets in one turn.
"""

import itertools
import resource
import select
import signal
import socket
import subprocess
import threading
import time
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path
from typing import Any

import pytest
from fleet import Fleet
from peers import PATIENCE, SETTINGS, Listener, Peer
from test_crossings import SYN_SENT, UNPROBED, CrossingTest

DESCRIPTORS = 64  # few enough to be filled
FLOOD = 1000  # lines that a client sends at once
READY_WITHIN, READY_WITHIN_BESIDE_PREDECESSOR = 6.0, 10.0  # seconds, of the standing test
NO_READING = 4096  # bytes of a receive buffer that is soon full
WINDOW = 3_000_000  # microseconds: longer than the kernel takes to repeat a connection's first packet
AFTER_THE_WINDOW = 3.2  # seconds
STEADY = 0.3  # seconds after which a queue that stands counts as held


class Balancer(CrossingTest):
    """One balancer and its peers, for tests that are functions."""

    settings: dict[str, Any] = UNPROBED

    def with_class(self, repeat: str, scope: str = "all", window: int = 0) -> None:
        """Have the settings name one class, to be repeated in this way."""
        service_class = SETTINGS["classes"][0] | {"repeat": repeat}
        if window:
            service_class |= {"dedupScope": scope, "dedupWindowUs": window}
        self.settings = self.settings | {"classes": [service_class]}

    def exit_status(self) -> int:
        assert self.node
        return self.node.wait(PATIENCE)

    def untouched(self, listener: Listener) -> bool:
        """Whether no connection waits to be taken from this server's port."""
        return not select.select([listener.sock], [], [], 0)[0]

    def is_connecting(self, listener: Listener) -> bool:
        """Whether a connection to this server is on its way."""
        wanted = f":{listener.sock.getsockname()[1]:04X}"
        rows = [row.split() for row in Path("/proc/net/tcp").read_text().splitlines()[1:]]
        return any(remote.endswith(wanted) and state == SYN_SENT for _, _, remote, state, *_ in rows)


@pytest.fixture
def balancer() -> Iterator[Balancer]:
    balancer = Balancer()
    balancer.setUp()
    yield balancer
    balancer.doCleanups()


def lines_to_the_end(peer: Peer) -> list[str]:
    """All lines that come until the other side ends the connection; no part of a line may follow them."""
    lines = []
    while line := peer.line():
        lines.append(line)
    assert peer.rest == b""
    return lines


def ends(peer: Peer) -> bool:
    """Whether the other side ends the connection, in either way, without another line."""
    try:
        return peer.line() == ""
    except ConnectionResetError:
        return True


def queues(local: tuple[str, int], remote: tuple[str, int]) -> tuple[int, int]:
    """The bytes that the kernel holds to send, and to be read, at the local end of a connection."""
    ends_wanted = f":{local[1]:04X}", f":{remote[1]:04X}"
    for row in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        _, local_end, remote_end, _, held, *_ = row.split()
        if (local_end[-5:], remote_end[-5:]) == ends_wanted:
            to_send, _, to_read = held.partition(":")
            return int(to_send, 16), int(to_read, 16)
    raise AssertionError("no such connection")


# Requests on connections that are being closed.


@pytest.mark.parametrize("before", [b"", b"PING\r\n", b"OPEN 00000000000"])
def test_a_request_is_served_though_a_crowd_takes_the_place_of_idle_connections(
    balancer: Balancer, before: bytes
) -> None:
    """The oldest idle connection asks in the turn in which newcomers would have it closed for their room."""
    balancer.start(files=DESCRIPTORS)
    crowd = [balancer.client() for _ in range(2 * DESCRIPTORS)]
    crowd.append(balancer.resting())  # so all have been accepted, and the first ones were closed again
    oldest = next(client for client in crowd if not select.select([client.sock], [], [], 0)[0])
    first_line = b"OPEN 0000000000000001 key1 c=web,d=9000,g=abc\r\n"
    oldest.sock.sendall(before)
    if before.startswith(b"PING"):
        assert oldest.line() == "PONG"
    else:
        balancer.counters()  # a turn in which what came of the line is read
        first_line = first_line.removeprefix(before)
    with balancer.stopped():
        oldest.sock.sendall(first_line)
        newcomers = [balancer.client() for _ in range(5)]
    server, line = balancer.server.rpc()
    assert line.startswith("OPEN 0000000000000001 key1 ")
    server.send("UP r")
    assert oldest.line() == "UP r"
    assert balancer.counters()["crowded out"] > len(newcomers)


@pytest.mark.parametrize(("end", "answer"), [("its time is up", "ERR"), ("shutting down", "BUSY 1000")])
def test_a_request_that_comes_after_the_shutdown_of_its_connection_is_not_sent_on(
    balancer: Balancer, end: str, answer: str
) -> None:
    """A client that rested until the balancer told it off and shut the connection asks all the same."""
    balancer.start()
    client = balancer.client()
    if end == "shutting down":
        balancer.counters()  # a turn in which it is accepted
        balancer.terminate()
    assert lines_to_the_end(client) == [answer]
    balancer.open(1, client=client)
    if end != "shutting down":
        assert balancer.goes_on(2)["attempt up"] == 1
        balancer.terminate()
    assert balancer.exit_status() == 0
    assert balancer.untouched(balancer.server)


def test_a_request_in_the_backlog_is_answered_when_no_descriptor_is_left(balancer: Balancer) -> None:
    """It is refused on the spare descriptor; a close over the unread request would reset the connection."""
    balancer.settings = balancer.settings | {"discovery": "pushed"}
    balancer.start()
    watch, _ = balancer.discovery.watch()
    watch.begin_watch()  # from here on the program opens nothing of its own accord
    assert balancer.node
    numbers = [int(path.name) for path in Path(f"/proc/{balancer.node.pid}/fd").iterdir()]
    resource.prlimit(balancer.node.pid, resource.RLIMIT_NOFILE, (max(numbers) + 1, 1024))
    idle = []
    while not balancer.counters().get("unavailable, no descriptors"):
        idle.append(balancer.client())  # they take the numbers between, until one is refused
    with balancer.stopped():
        client = balancer.open(1)
    assert lines_to_the_end(client) == ["BUSY 1000"]
    resource.prlimit(balancer.node.pid, resource.RLIMIT_NOFILE, (1024, 1024))
    balancer.goes_on(2)


@pytest.mark.parametrize("behind", [0, 2 * DESCRIPTORS])
def test_one_real_request_among_idle_clients_that_fill_the_descriptors(
    balancer: Balancer, behind: int
) -> None:
    """All of them stand in the backlog at once: the request last, or as many idle ones behind it again."""
    balancer.start(files=DESCRIPTORS)
    with balancer.stopped():
        crowd = [balancer.client() for _ in range(2 * DESCRIPTORS)]
        client = balancer.open(1)
        crowd += [balancer.client() for _ in range(behind)]
    server, _ = balancer.server.rpc()
    server.send("UP r")
    assert client.line() == "UP r"
    assert ends(crowd[0])
    assert not select.select([crowd[-1].sock], [], [], 0)[0]


# Bytes under way as a connection is closed.


def test_half_a_line_from_a_server_is_dropped_at_its_close(balancer: Balancer) -> None:
    """The whole line before it is passed on in the same turn, and then the end."""
    balancer.start()
    client, server = balancer.up(1)
    with balancer.stopped():
        server.sock.sendall(b"whole\r\nhalf")
        server.close()
    assert lines_to_the_end(client) == ["whole"]
    balancer.goes_on(2)


def test_half_a_line_from_a_server_does_not_go_before_the_move_of_the_same_turn(balancer: Balancer) -> None:
    """It comes while the balancer that is told to end has its clients to move."""
    balancer.start()
    client, server = balancer.up(1)
    balancer.terminate()
    balancer.logged("shutdown_started")
    with balancer.stopped():
        server.sock.sendall(b"whole\r\nhalf")
        time.sleep(3.2)  # until all are to be moved
    lines = lines_to_the_end(client)
    assert lines in (["whole", "MOVE"], ["MOVE"])
    client.close()
    assert balancer.exit_status() == 0
    assert ends(server)


def test_a_clients_last_line_reaches_a_server_that_has_sent_half_a_line(balancer: Balancer) -> None:
    """The client ends its connection in the same turn: the balancer closes the server's over unread bytes."""
    balancer.start()
    client, server = balancer.up(1)
    with balancer.stopped():
        client.send("last")
        client.close()
        server.sock.sendall(b"half")
    assert server.line() == "last"
    assert ends(server)


def test_a_last_line_that_the_kernel_holds_survives_the_close_over_unread_bytes(balancer: Balancer) -> None:
    """The client takes nothing until the balancer has closed, and has sent lines that nobody reads."""
    balancer.server.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, NO_READING)
    balancer.start()
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, NO_READING)
    sock.connect(balancer.listen)
    client = balancer.open(1, client=Peer(sock))
    server, _ = balancer.server.rpc()
    server.send("UP r")
    assert client.line() == "UP r"
    own_end = sock.getsockname()

    def held(direction: int) -> bool:
        """Whether bytes stay in the kernel at the balancer's end: 0 those to the client, 1 those from it."""
        give_up = time.monotonic() + STEADY
        while queues(balancer.listen, own_end)[direction]:
            if time.monotonic() > give_up:
                return True
            time.sleep(0.002)
        return False

    to_client = itertools.count()
    server.send(f"{next(to_client):0100}")
    while not held(0):
        server.send(f"{next(to_client):0100}")
    client.send("x" * 4000)
    while not held(1):  # the server reads nothing, so the balancer reads no more of the client
        server.send(f"{next(to_client):0100}")  # else it would count as silent
        client.send(*["x" * 4000] * 8)  # half of what the balancer drops as it closes
    server.send("BYE")
    server.sock.shutdown(socket.SHUT_WR)
    balancer.until("connection ok", 1)
    lines = lines_to_the_end(client)
    assert lines == [f"{number:0100}" for number in range(next(to_client))] + ["BYE"]


# Clients that send much at once.


@pytest.mark.parametrize("command", ["PING", "STATS", "OPEN 0000000000000001 key1 c=web,d=9000,g=abc"])
@pytest.mark.parametrize("first", ["", "OPEN 0000000000000001 key1 c=web,d=9000,g=abc"])
def test_a_flood_of_commands_in_one_turn_gets_one_answer_and_is_not_sent_on(
    balancer: Balancer, first: str, command: str
) -> None:
    """A client waits after its first line; whoever sends more has broken the protocol."""
    balancer.start()
    client = balancer.client()
    with balancer.stopped():
        client.send(*filter(None, [first]), *[command] * FLOOD)
    assert lines_to_the_end(client) == ["ERR"]
    assert balancer.goes_on(2)["attempt up"] == 1


def test_a_flood_of_commands_while_an_attempt_is_out_ends_it(balancer: Balancer) -> None:
    """The attempt's answer comes in the same turn: one final answer all the same."""
    balancer.start()
    client = balancer.open(1)
    server, _ = balancer.server.rpc()
    with balancer.stopped():
        client.send(*["PING"] * FLOOD)
        server.send("UP r")
    assert lines_to_the_end(client) == ["ERR"]
    assert ends(server)
    balancer.goes_on(2)


def test_a_flood_of_lines_on_a_connection_that_is_up_is_passed_on_in_order(balancer: Balancer) -> None:
    """Every line once, whole and unchanged, and the answers back, beside another client that is served."""
    balancer.start()
    client, server = balancer.up(1)
    lines = [f"PING {number}" for number in range(FLOOD)]
    with balancer.stopped():
        client.send(*lines)
    assert [server.line() for _ in lines] == lines
    balancer.goes_on(2)
    server.send(*lines)
    assert [client.line() for _ in lines] == lines


# Servers whose answers are spoilt or late.


@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize("part", ["", "U", "UP r", "BUSY", "ERR\r"])
def test_an_answer_that_breaks_off_is_a_failed_attempt_and_none_of_it_is_passed_on(
    balancer: Balancer, part: str, reset: bool
) -> None:
    """Without its line's end it is no answer; what may be repeated is, on a new connection."""
    balancer.start()
    client = balancer.open(1)
    first, _ = balancer.server.rpc()
    first.sock.sendall(part.encode())
    first.close(reset)
    second, line = balancer.server.rpc()
    assert line.startswith("OPEN 0000000000000001 ")
    second.send("UP r2")
    assert client.line() == "UP r2"
    second.close()
    assert lines_to_the_end(client) == []


@pytest.mark.parametrize("part", ["UP r", "BUSY"])
def test_an_answer_that_breaks_off_is_not_repeated_where_it_may_have_run(
    balancer: Balancer, part: str
) -> None:
    """A class that may not be repeated fails: neither a second attempt nor `BUSY`, which invites one."""
    balancer.with_class("fragile")
    balancer.start()
    client = balancer.open(1)
    server, _ = balancer.server.rpc()
    server.sock.sendall(part.encode())
    server.close()
    assert lines_to_the_end(client) == ["ERR"]
    assert balancer.untouched(balancer.server)


@pytest.mark.parametrize("answer", [b"UP " + b"r" * 100_000, b"UP r"], ids=["a flood", "half a line"])
def test_an_answer_that_never_ends_its_line_gives_way_to_the_next_attempt(
    balancer: Balancer, answer: bytes
) -> None:
    """Too long a line fails at once, half a line at the attempt's time; its connection is closed first."""
    balancer.start()
    client = balancer.open(1, wait=6000)
    first, _ = balancer.server.rpc()
    with suppress(ConnectionError):  # closed while the flood still comes
        first.sock.sendall(answer)
    second, line = balancer.server.rpc()
    assert line.startswith("OPEN 0000000000000001 ")
    assert ends(first)
    second.send("UP r2")
    assert client.line() == "UP r2"


def test_a_line_without_end_from_a_server_that_is_up_ends_the_connection(balancer: Balancer) -> None:
    """The line before it is passed on, and no part of the one that never ends."""
    balancer.start()
    client, server = balancer.up(1)
    with suppress(ConnectionError):
        server.sock.sendall(b"whole\r\n" + b"x" * 100_000)
    assert lines_to_the_end(client) == ["whole"]
    assert ends(server)
    balancer.goes_on(2)


def test_a_connection_that_comes_up_after_1500_ms_is_used_with_the_time_that_is_left(
    balancer: Balancer,
) -> None:
    """Where the settings allow so long to connect; the server is told no more than the client's rest."""
    balancer.start()
    ahead = balancer.fill(balancer.server)
    begun = time.monotonic()
    client = balancer.open(1, wait=9000)
    balancer.connecting(balancer.server)
    with balancer.stopped():
        server = balancer.let_in(balancer.server, ahead)
        time.sleep(max(0.0, begun + 1.5 - time.monotonic()))
    line = server.line()
    assert line.startswith("OPEN 0000000000000001 ")
    wait = int(line.partition("d=")[2].partition(",")[0])
    assert 0 < wait <= 9000 - 1500
    server.send("UP r")
    assert client.line() == "UP r"


def test_a_connection_that_is_not_up_in_time_is_given_up_before_another_server_is_asked(
    balancer: Balancer,
) -> None:
    """The settings allow 1 s to connect: never two attempts at once, and nothing comes up later."""
    balancer.settings = balancer.settings | {"limits": UNPROBED["limits"] | {"dialTimeoutUs": 1_000_000}}
    balancer.start()
    watch, _ = balancer.discovery.watch()
    watch.begin_watch()
    ahead = balancer.fill(balancer.server)
    other = Listener()
    client = balancer.open(1)
    balancer.connecting(balancer.server)
    watch.chunk(2, balancer.member("s2", host_port=other.address))
    server, line = other.rpc()
    assert line.startswith("OPEN 0000000000000001 ")
    assert not balancer.is_connecting(balancer.server)
    server.send("UP r")
    assert client.line() == "UP r"
    assert len(ahead) > 0  # they filled the queue until here


# Repeats of keyed requests.


@pytest.mark.parametrize(("scope", "answer"), [("all", "BUSY"), ("zone", "ERR")])
def test_a_keyed_request_that_fails_just_after_its_window_is_not_repeated(
    balancer: Balancer, scope: str, answer: str
) -> None:
    """The failure is read once the servers have forgotten the key."""
    balancer.with_class("dedup", scope, 300_000)
    balancer.start()
    client = balancer.open(1)
    server, _ = balancer.server.rpc()
    with balancer.stopped():
        server.send("ERR")
        time.sleep(0.35)
    assert [line.split()[0] for line in lines_to_the_end(client)] == [answer]
    assert balancer.untouched(balancer.server)


@pytest.mark.parametrize(("scope", "answer"), [("all", "BUSY"), ("zone", "ERR")])
def test_a_keyed_repeat_whose_connection_comes_up_after_the_window_is_not_sent(
    balancer: Balancer, scope: str, answer: str
) -> None:
    """It was decided on in time; what counts is when its first line would go out."""
    balancer.with_class("dedup", scope, WINDOW)
    balancer.start()
    client = balancer.open(1)
    first, _ = balancer.server.rpc()
    sent = time.monotonic()
    ahead = balancer.fill(balancer.server)
    first.send("ERR")
    balancer.connecting(balancer.server)
    with balancer.stopped():
        second = balancer.let_in(balancer.server, ahead)
        time.sleep(max(0.0, sent + AFTER_THE_WINDOW - time.monotonic()))
    assert second.line() == ""
    assert [line.split()[0] for line in lines_to_the_end(client)] == [answer]
    assert balancer.untouched(balancer.server)


def test_a_keyed_repeat_whose_connection_comes_up_within_the_window_is_sent(balancer: Balancer) -> None:
    """The same order of events in a window that is not over."""
    balancer.with_class("dedup", "zone", 60_000_000)
    balancer.start()
    client = balancer.open(1)
    first, _ = balancer.server.rpc()
    ahead = balancer.fill(balancer.server)
    first.send("ERR")
    balancer.connecting(balancer.server)
    with balancer.stopped():
        second = balancer.let_in(balancer.server, ahead)
    assert second.line().startswith("OPEN 0000000000000001 ")
    second.send("UP r2")
    assert client.line() == "UP r2"


# Restarts.


class Load:
    """Clients that come again at once, for as long as the program is restarted under them."""

    CLIENTS = 20

    def __init__(self, listen: tuple[str, int]) -> None:
        self.listen = listen
        self.up = 0  # connections that have come up
        self._numbers = itertools.count(1)
        self._changed = threading.Condition()
        self._over = threading.Event()
        self._threads = [threading.Thread(target=self._come_again) for _ in range(self.CLIENTS)]
        for thread in self._threads:
            thread.start()

    def _come_again(self) -> None:
        while not self._over.is_set():
            with suppress(OSError):
                self._hold_one()
            self._over.wait(0.02)  # refused, while nobody listens

    def _hold_one(self) -> None:
        """One connection, held until the balancer ends it."""
        with socket.create_connection(self.listen, PATIENCE) as sock:
            client = Peer(sock)
            with self._changed:
                number = next(self._numbers)
            client.send(f"OPEN {number:016x} key{number} c=web,d=9000,g=g{number}")
            if not client.line().startswith("UP "):
                return
            with self._changed:
                self.up += 1
                self._changed.notify_all()
            client.sock.settimeout(0.2)
            while not self._over.is_set():
                with suppress(TimeoutError):
                    if not client.line():
                        return

    def wait_for_all(self, before: int) -> None:
        """Until as many connections as there are clients have come up since there were so many."""
        with self._changed:
            assert self._changed.wait_for(lambda: self.up >= before + self.CLIENTS, PATIENCE)

    def end(self) -> None:
        self._over.set()
        for thread in self._threads:
            thread.join()


@pytest.mark.parametrize("held", [False, True], ids=["predecessor gone", "predecessor there"])
def test_a_balancer_that_is_restarted_under_load_is_ready_in_time(balancer: Balancer, held: bool) -> None:
    """Three times in a row, all clients coming again at once; the second way the address is still held."""
    fleet = Fleet(["s1", "s2", "s3"])
    members = [balancer.member(name, host_port=address) for name, address in fleet.addresses.items()]
    balancer.start(members, stderr=subprocess.DEVNULL)
    load = Load(balancer.listen)
    try:
        load.wait_for_all(before=0)
        for _ in range(3):
            predecessor, up = balancer.node, load.up
            assert predecessor
            predecessor.send_signal(signal.SIGTERM)
            if not held:
                assert predecessor.wait(PATIENCE) == 0
            launched = time.monotonic()
            balancer.launch(stderr=subprocess.DEVNULL)
            assert predecessor.wait(PATIENCE) == 0
            balancer.ready()
            took = time.monotonic() - launched
            assert took < (READY_WITHIN_BESIDE_PREDECESSOR if held else READY_WITHIN)
            load.wait_for_all(before=up)
    finally:
        load.end()
        fleet.close()
