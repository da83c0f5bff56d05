"""The relay on sockets: one listening port per route, each accepted connection joined to the route's target.

Bytes go through as `rules.Table` says: held while a cut stands (the stream stalls, as TCP does on a lost
route, and goes on when healed), after a delay, at a rate, or ended with RST on a reset. On routes of frames,
whole frames are lost or come twice, but for a connection's first, which says who it is. Commands come as
lines on standard input, or on a control port, or from a script by the time since the start; each is answered
`ok` or `error: REASON` where it came from.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import struct
import sys
from dataclasses import dataclass, field

import structlog

from wheatstile.link.rules import BadCommand, Command, Cutter, Table, parse, resets

log = structlog.get_logger()

CHUNK = 64 * 1024
"""Bytes read at once from one side."""
HELD = 16
"""Chunks (or frames) under way in one direction of a connection; what is more waits in the kernel."""


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

    def reset(self) -> None:
        """Ends the pair's task, whose end closes both sides with RST."""
        if self.task is not None:
            self.task.cancel()

    def release(self) -> None:
        """Closes both sides with RST; the one place where a joined pair's sockets are released."""
        for sock in (self.client, self.upstream):
            with contextlib.suppress(OSError):  # already gone; close it all the same
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            sock.close()


@dataclass
class Relay:
    routes: list[Route]
    frames: bool = False  # the streams are frames behind a length, which may be lost or come twice
    seed: int = 0
    control: int | None = None  # a port for commands, on loopback; 0: any
    script: list[tuple[float, Command]] = field(default_factory=list)
    table: Table = field(default_factory=Table)
    joined: set[Joined] = field(default_factory=set)
    _changed: asyncio.Condition = field(default_factory=asyncio.Condition)

    async def serve(self) -> None:
        loop = asyncio.get_running_loop()
        async with asyncio.TaskGroup() as tasks:
            for route in self.routes:
                listener = socket.create_server(("127.0.0.1", route.listen), backlog=128)
                listener.setblocking(False)
                print(f"listening {route.src}->{route.dst} {listener.getsockname()[1]}", flush=True)
                tasks.create_task(self._accept(loop, route, listener, tasks))
            if self.control is not None:
                server = await asyncio.start_server(self._control, "127.0.0.1", self.control)
                print(f"control {server.sockets[0].getsockname()[1]}", flush=True)
            tasks.create_task(self._play(loop.time()))
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
        except* (OSError, ValueError) as errors:  # a reset, or a side gone: the pair ends, the relay goes on
            log.info("link ended", src=route.src, dst=route.dst, error=str(errors.exceptions[0]))
        finally:
            self.joined.discard(pair)
            pair.release()

    async def _run(self, loop: asyncio.AbstractEventLoop, pair: Joined) -> None:
        route = pair.route
        await loop.sock_connect(pair.upstream, ("127.0.0.1", route.target))
        async with asyncio.TaskGroup() as pumps:
            pumps.create_task(self._pump(loop, route.src, route.dst, pair.client, pair.upstream))
            pumps.create_task(self._pump(loop, route.dst, route.src, pair.upstream, pair.client))

    async def _pump(self, loop: asyncio.AbstractEventLoop, src: str, dst: str, a: socket.socket,
                    b: socket.socket) -> None:
        """One direction: what is read waits its time in order, however much is read meanwhile."""
        waiting: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(HELD)
        async with asyncio.TaskGroup() as both:
            both.create_task(self._read(loop, src, dst, a, waiting))
            both.create_task(self._write(loop, src, dst, b, waiting))

    async def _read(self, loop: asyncio.AbstractEventLoop, src: str, dst: str, sock: socket.socket,
                    waiting: asyncio.Queue[tuple[float, bytes]]) -> None:
        rng = random.Random(f"{self.seed}:{src}:{dst}")  # the same draws for each connection of a direction
        buffer, cutter, first, last = bytearray(CHUNK), Cutter(), True, 0.0
        while n := await loop.sock_recv_into(sock, buffer):
            data = bytes(buffer[:n])
            for piece in cutter.feed(data) if self.frames else [data]:
                verdict = self.table.verdict(src, dst)
                times = 1
                if self.frames and not first:
                    times = 0 if rng.random() < verdict.lose else 2 if rng.random() < verdict.repeat else 1
                first = False
                last = max(last, loop.time() + verdict.delay + rng.random() * verdict.jitter)
                for _ in range(times):
                    await waiting.put((last, piece))
        await waiting.put((last, b""))

    async def _write(self, loop: asyncio.AbstractEventLoop, src: str, dst: str, sock: socket.socket,
                     waiting: asyncio.Queue[tuple[float, bytes]]) -> None:
        while True:
            due, piece = await waiting.get()
            if (left := due - loop.time()) > 0:
                await asyncio.sleep(left)
            async with self._changed:
                await self._changed.wait_for(lambda: not self.table.verdict(src, dst).held)
            if not piece:
                return sock.shutdown(socket.SHUT_WR)
            rate = self.table.verdict(src, dst).rate
            step = max(1, int(rate / 20)) if rate else len(piece)  # a slow link always lets some through
            for start in range(0, len(piece), step):
                part = piece[start:start + step]
                await loop.sock_sendall(sock, part)
                if rate:
                    await asyncio.sleep(len(part) / rate)

    async def _commands(self, loop: asyncio.AbstractEventLoop) -> None:
        reader = asyncio.StreamReader()
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
        while line := await reader.readline():
            print(await self._told(line), flush=True)

    async def _control(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, ValueError):  # who leaves, or writes a line without an end
            while line := await reader.readline():
                writer.write(f"{await self._told(line)}\n".encode())
                await writer.drain()
        writer.close()

    async def _play(self, begun: float) -> None:
        """The script, by the time since the start."""
        for at, command in self.script:
            await asyncio.sleep(max(0.0, begun + at - asyncio.get_running_loop().time()))
            await self._obey(command)

    async def _told(self, line: bytes) -> str:
        try:
            command = parse(line.decode("utf-8", "replace"))
            if command.word in ("lose", "repeat") and not self.frames:
                raise BadCommand(f"word 1: {command.word} needs --frames")
        except BadCommand as error:
            return f"error: {error}"
        await self._obey(command)
        return "ok"

    async def _obey(self, command: Command) -> None:
        pairs = self.table.apply(command)
        for pair in list(self.joined):
            if resets(pairs, pair.route.src, pair.route.dst):
                pair.reset()
        async with self._changed:
            self._changed.notify_all()
        log.info("link rule", word=command.word, src=command.src, dst=command.dst, values=command.values)


def main(relay: Relay) -> int:
    """Serves until standard input ends. Exit status 0, or 1 when a port cannot be had."""
    import uvloop

    from wheatstile import logs

    logs.configure()  # on standard error; standard output carries the answers to commands
    try:
        uvloop.run(relay.serve())
    except OSError as error:
        print(f"link: {error}", file=sys.stderr)
        return 1
    except (asyncio.CancelledError, KeyboardInterrupt):
        pass
    return 0
