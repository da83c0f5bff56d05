"""Runs one member of the store as a process that serves peers and clients over TCP on loopback."""

from __future__ import annotations

import asyncio
import signal
import socket
import sys
from collections.abc import Awaitable, Callable
from contextlib import closing
from dataclasses import dataclass

import msgspec
import structlog
import uvloop

from wheatstile import logs, signal_handlers
from wheatstile.store.client_service import ClientService
from wheatstile.store.errors import CorruptStorageError, StorageFailedError
from wheatstile.store.framing import LOOPBACK
from wheatstile.store.member import Member
from wheatstile.store.member_config import MemberConfig
from wheatstile.store.peer_transport import PeerTransport

log = structlog.get_logger()

LISTEN_BACKLOG = 256
ACCEPT_RETRY_DELAY_S = 0.1
"""Delay after a failed accept."""

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)

EXIT_STOPPED = 0
EXIT_CANNOT_START = 1
EXIT_STORAGE_FAILED = 3

ConnectionHandler = Callable[[socket.socket], Awaitable[None]]


@dataclass(frozen=True)
class Ports:
    """Loopback ports of this member for peers and clients (0: any free port), and the ports of its peers."""

    peer: int
    client: int
    peers: dict[str, int]


class StoreServer:
    """Serves the peers and clients of one member.

    Raises `CorruptStorageError`, and OSError if the directory cannot be used.
    """

    def __init__(self, config: MemberConfig, ports: Ports) -> None:
        self._config = config
        self._ports = ports
        self._transport = PeerTransport(config, ports.peers, self._read_key)
        self._member = Member(config, self._transport.send)
        self._clients = ClientService(self._member)

    async def serve(self) -> None:
        """Serve peers and clients until cancelled, and then close the member.

        Raises OSError if a port cannot be used, and an exception group that contains `StorageFailedError` if
        the storage fails.
        """
        with (
            closing(self._member),
            open_listener(self._ports.peer) as peer_listener,
            open_listener(self._ports.client) as client_listener,
        ):
            peer_port = peer_listener.getsockname()[1]
            client_port = client_listener.getsockname()[1]
            print(f"ready {self._config.name} {peer_port} {client_port}", flush=True)
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._transport.run())
                tasks.create_task(accept_connections(peer_listener, self._serve_peer))
                tasks.create_task(accept_connections(client_listener, self._clients.serve))
                await self._member.run()

    async def _serve_peer(self, sock: socket.socket) -> None:
        await self._transport.receive(sock, self._member.on_message)

    def _read_key(self, key: str) -> bytes | None:
        version = self._member.applied.state_machine.get(key)
        return version.value if version else None


def open_listener(port: int) -> socket.socket:
    """Return a listening socket on loopback, which the caller closes. Raises OSError."""
    listener = socket.create_server((LOOPBACK, port), backlog=LISTEN_BACKLOG)
    listener.setblocking(False)
    return listener


async def accept_connections(listener: socket.socket, handle: ConnectionHandler) -> None:
    """Accept connections until cancelled, and run `handle` on each in a separate task."""
    loop = asyncio.get_running_loop()
    async with asyncio.TaskGroup() as tasks:
        while True:
            try:
                sock, _ = await loop.sock_accept(listener)
            except OSError as error:  # no descriptor is free, or the connection was aborted
                log.warning("store_accept_failed", reason=str(error))
                await asyncio.sleep(ACCEPT_RETRY_DELAY_S)
                continue
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            tasks.create_task(handle_connection(sock, handle))


async def handle_connection(sock: socket.socket, handle: ConnectionHandler) -> None:
    """Run `handle` on a connection, and close it. A protocol error affects only this connection."""
    with sock:
        try:
            await handle(sock)
        except (OSError, TimeoutError):
            pass
        except (ValueError, msgspec.MsgspecError) as error:
            log.warning("store_connection_aborted", reason=str(error))


async def serve_until_signalled(config: MemberConfig, ports: Ports) -> None:
    """Serve until SIGTERM or SIGINT, both of which cancel this task."""
    server = StoreServer(config, ports)
    task = asyncio.current_task()
    assert task is not None
    for signal_number in STOP_SIGNALS:
        signal_handlers.call_on_signal(signal_number, task.cancel)
    try:
        await server.serve()
    finally:
        signal_handlers.ignore(STOP_SIGNALS)


def run_server(config: MemberConfig, ports: Ports) -> int:
    """Serve until SIGTERM or SIGINT and return the exit status.

    The status is `EXIT_STOPPED` after a signal, `EXIT_CANNOT_START` if a port or the directory cannot be
    used, and `EXIT_STORAGE_FAILED` if a write to the directory fails.
    """
    logs.configure()
    status = EXIT_STOPPED
    try:
        uvloop.run(serve_until_signalled(config, ports))
    except* StorageFailedError as errors:
        status = report_errors(config, errors, EXIT_STORAGE_FAILED)
    except* (OSError, CorruptStorageError) as errors:
        status = report_errors(config, errors, EXIT_CANNOT_START)
    except* asyncio.CancelledError:
        pass
    return status


def report_errors(config: MemberConfig, errors: BaseExceptionGroup[Exception], status: int) -> int:
    """Print the errors that end the process to standard error, and return `status`."""
    for error in errors.exceptions:
        print(f"store: {config.name}: {error}", file=sys.stderr)
    return status
