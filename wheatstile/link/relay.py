"""The relay on sockets: one listening port per route, each accepted connection joined to the route's target.

Bytes go through as `rules.Table` says at the moment they are read: held while a cut stands (the
stream stalls, as TCP does on a lost route, and goes on when healed), sent after a delay, or ended with
RST on a reset. Commands come as lines on standard input; each is answered `ok` or `error: REASON` on
standard output, in order.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import sys
from dataclasses import dataclass, field

import structlog

from wheatstile.link.rules import BadCommand, Table, parse, resets

log = structlog.get_logger()

CHUNK = 64 * 1024
"""Bytes read at once from one side; a held stream keeps at most this much in the relay, the rest in
the kernel."""


@dataclass(frozen=True, slots=True)
class Route:
    """Connections to 127.0.0.1:`listen` from `src` go to 127.0.0.1:`target`, the process `dst`."""

    src: str
    dst: str
    listen: int
    target: int

    @classmethod
    def parse(cls, text: str) -> Route:
        """`SRC:DST:LISTEN:TARGET`; raises ValueError that names the part at fault."""
        parts = text.split(":")
        if len(parts) != 4 or not parts[0] or not parts[1]:
            raise ValueError(f"route {text!r}: SRC:DST:LISTEN:TARGET wanted")
        try:
            listen, target = int(parts[2]), int(parts[3])
        except ValueError:
            raise ValueError(f"route {text!r}: ports must be numbers") from None
        return cls(parts[0], parts[1], listen, target)


@dataclass(eq=False)
class Joined:
    route: Route
    client: socket.socket
    upstream: socket.socket
    task: asyncio.Task[None] | None = None
    closed: bool = False

    def reset(self) -> None:
        """Ends the pair's task, whose end closes both sides with RST."""
        if self.task is not None:
            self.task.cancel()

    def release(self) -> None:
        """Closes both sides with RST; the one place where a joined pair's sockets are released."""
        if self.closed:
            return
        self.closed = True
        for sock in (self.client, self.upstream):
            with contextlib.suppress(OSError):  # already gone; close it all the same
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            sock.close()


@dataclass
class Relay:
    routes: list[Route]
    table: Table = field(default_factory=Table)
    joined: set[Joined] = field(default_factory=set)
    _changed: asyncio.Condition = field(default_factory=asyncio.Condition)

    async def serve(self) -> None:
        loop = asyncio.get_running_loop()
        async with asyncio.TaskGroup() as tasks:
            for route in self.routes:
                listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
                listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                listener.bind(("127.0.0.1", route.listen))
                listener.listen(128)
                listener.setblocking(False)
                print(f"listening {route.src}->{route.dst} {listener.getsockname()[1]}", flush=True)
                tasks.create_task(self._accept(loop, route, listener, tasks))
            print("ready", flush=True)
            await self._commands(loop)
            raise asyncio.CancelledError  # standard input closed: the relay ends with its owner

    async def _accept(self, loop: asyncio.AbstractEventLoop, route: Route, listener: socket.socket,
                      tasks: asyncio.TaskGroup) -> None:
        try:
            while True:
                client, _ = await loop.sock_accept(listener)
                tasks.create_task(self._join(loop, route, client))
        finally:
            listener.close()

    async def _join(self, loop: asyncio.AbstractEventLoop, route: Route, client: socket.socket) -> None:
        client.setblocking(False)
        upstream = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        upstream.setblocking(False)
        pair = Joined(route, client, upstream, asyncio.current_task())
        self.joined.add(pair)
        try:
            await self._run(loop, pair)
        except* OSError as errors:  # a reset, or a side gone: the pair ends, the relay goes on
            log.info("link ended", src=route.src, dst=route.dst, error=str(errors.exceptions[0]))
        finally:
            self.joined.discard(pair)
            pair.release()

    async def _run(self, loop: asyncio.AbstractEventLoop, pair: Joined) -> None:
        route = pair.route
        await loop.sock_connect(pair.upstream, ("127.0.0.1", route.target))
        async with asyncio.TaskGroup() as pumps:
            pumps.create_task(self._pump(loop, pair, route.src, route.dst, pair.client, pair.upstream))
            pumps.create_task(self._pump(loop, pair, route.dst, route.src, pair.upstream, pair.client))

    async def _pump(self, loop: asyncio.AbstractEventLoop, pair: Joined, src: str, dst: str,
                    a: socket.socket, b: socket.socket) -> None:
        buffer = bytearray(CHUNK)
        while not pair.closed:
            n = await loop.sock_recv_into(a, buffer)
            if n == 0:
                b.shutdown(socket.SHUT_WR)
                return
            data = bytes(buffer[:n])
            async with self._changed:
                await self._changed.wait_for(lambda: pair.closed or not self.table.verdict(src, dst).held)
            delay = self.table.verdict(src, dst).delay
            if delay:
                await asyncio.sleep(delay)
            if pair.closed:
                return
            await loop.sock_sendall(b, data)

    async def _commands(self, loop: asyncio.AbstractEventLoop) -> None:
        reader = asyncio.StreamReader()
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
        while line := await reader.readline():
            try:
                command = parse(line.decode("utf-8", "replace"))
            except BadCommand as error:
                print(f"error: {error}", flush=True)
                continue
            pairs = self.table.apply(command)
            for pair in list(self.joined):
                if resets(pairs, pair.route.src, pair.route.dst):
                    pair.reset()
            async with self._changed:
                self._changed.notify_all()
            log.info("link rule", word=command.word, src=command.src, dst=command.dst,
                     seconds=command.seconds)
            print("ok", flush=True)


def main(routes: list[Route]) -> int:
    """Serves until standard input ends. Exit status 0, or 1 when a port cannot be had."""
    import uvloop

    from wheatstile import logs

    logs.configure()  # on standard error; standard output carries the answers to commands
    try:
        uvloop.run(Relay(routes).serve())
    except OSError as error:
        print(f"link: {error}", file=sys.stderr)
        return 1
    except (asyncio.CancelledError, KeyboardInterrupt):
        pass
    return 0
