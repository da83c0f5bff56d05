"""The fault proxy: a listening socket for each route, and commands from three sources.

Commands come from standard input, the control port and a script. Each line on standard input or the control
port is answered with `ok` or `error: REASON`.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import sys
from collections.abc import Sequence
from dataclasses import dataclass

import structlog
import uvloop

from wheatstile import logs
from wheatstile.fault_proxy.commands import FRAME_COMMANDS, Command, ScheduledCommand, parse_command
from wheatstile.fault_proxy.connection import LOOPBACK, ProxiedConnection
from wheatstile.fault_proxy.errors import CommandError
from wheatstile.fault_proxy.live_faults import LiveFaults
from wheatstile.fault_proxy.routes import Route

log = structlog.get_logger()

LISTEN_BACKLOG = 128
EXIT_OK = 0
EXIT_PORT_UNAVAILABLE = 1


@dataclass(frozen=True, slots=True)
class FaultProxyOptions:
    """The options of a fault proxy."""

    routes: Sequence[Route]
    frames: bool = False  # True if the streams consist of length-prefixed frames
    seed: int = 0  # seed for random loss, duplication and jitter
    control_port: int | None = None  # port on loopback; 0 for any free port, None for no control port
    script: Sequence[ScheduledCommand] = ()


class FaultProxy:
    """Relays the connections of all routes until standard input ends."""

    def __init__(self, options: FaultProxyOptions) -> None:
        self._options = options
        self._faults = LiveFaults()
        self._connections: set[ProxiedConnection] = set()

    async def serve(self) -> None:
        """Bind and print the ports, print `ready`, and serve. Raises OSError if a port cannot be bound.

        Ends with CancelledError when standard input is closed; this is the normal end.
        """
        with contextlib.ExitStack() as resources:
            listeners = [(route, self._listen(route, resources)) for route in self._options.routes]
            await self._start_control_port(resources)
            async with asyncio.TaskGroup() as tasks:
                for route, listener in listeners:
                    tasks.create_task(self._accept(route, listener, tasks))
                tasks.create_task(self._run_script())
                print("ready", flush=True)
                await self._serve_standard_input()
                raise asyncio.CancelledError  # cancels the group's other tasks

    def _listen(self, route: Route, resources: contextlib.ExitStack) -> socket.socket:
        listener = socket.create_server((LOOPBACK, route.listen_port), backlog=LISTEN_BACKLOG)
        resources.enter_context(listener)
        listener.setblocking(False)
        port = listener.getsockname()[1]
        print(f"listening {route.source}->{route.destination} {port}", flush=True)
        return listener

    async def _start_control_port(self, resources: contextlib.ExitStack) -> None:
        if self._options.control_port is None:
            return
        server = await asyncio.start_server(self._serve_control, LOOPBACK, self._options.control_port)
        resources.callback(server.close)
        print(f"control {server.sockets[0].getsockname()[1]}", flush=True)

    async def _accept(self, route: Route, listener: socket.socket, tasks: asyncio.TaskGroup) -> None:
        loop = asyncio.get_running_loop()
        while True:
            client, _ = await loop.sock_accept(listener)
            tasks.create_task(self._relay(route, client))

    async def _relay(self, route: Route, client: socket.socket) -> None:
        connection = ProxiedConnection(
            route, client, faults=self._faults, frames=self._options.frames, seed=self._options.seed
        )
        self._connections.add(connection)
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)

    async def _serve_standard_input(self) -> None:
        reader = asyncio.StreamReader()
        loop = asyncio.get_running_loop()
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
        while line := await reader.readline():
            print(await self._answer(line), flush=True)

    async def _serve_control(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, ValueError):  # client disconnected, or line too long
            while line := await reader.readline():
                writer.write(f"{await self._answer(line)}\n".encode())
                await writer.drain()
        writer.close()

    async def _run_script(self) -> None:
        loop = asyncio.get_running_loop()
        started_at_s = loop.time()
        for scheduled in self._options.script:
            await asyncio.sleep(max(0.0, started_at_s + scheduled.at_s - loop.time()))
            await self._apply(scheduled.command)

    async def _answer(self, line: bytes) -> str:
        """Apply the command in this line, and return the answer."""
        try:
            command = parse_command(line.decode("utf-8", "replace"))
            if command.name in FRAME_COMMANDS and not self._options.frames:
                raise CommandError(f"word 1: {command.name} needs --frames")
        except CommandError as error:
            return f"error: {error}"
        await self._apply(command)
        return "ok"

    async def _apply(self, command: Command) -> None:
        links_to_reset = await self._faults.apply(command)
        if links_to_reset:
            for connection in list(self._connections):
                connection.reset_if_matching(links_to_reset)
        log.info(
            "fault_command_applied",
            command=command.name,
            source=command.source,
            destination=command.destination,
            values=command.values,
        )


def main(options: FaultProxyOptions, command_name: str) -> int:
    """Serve until standard input ends, and return the exit status: 0, or 1 if a port cannot be bound.

    `command_name` is the prefix of the error message.
    """
    logs.configure()  # logs to standard error, because standard output carries the answers to commands
    try:
        uvloop.run(FaultProxy(options).serve())
    except OSError as error:
        print(f"{command_name}: {error}", file=sys.stderr)
        return EXIT_PORT_UNAVAILABLE
    except (asyncio.CancelledError, KeyboardInterrupt):
        pass
    return EXIT_OK
