"""Clients of the soak: each keeps a session open and in use, and connects again when it ends."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress

from soak.balancers import SoakBalancer
from soak.checks import KEYED_CLASS, UNSAFE_CLASS
from soak.records import ClientRequest, Echo, Ending, ReceivedLine, RunRecord
from wheatstile.net.line_stream import LineStream

SAFE_CLASS = "safe"
CLASSES = (SAFE_CLASS, KEYED_CLASS, UNSAFE_CLASS)
ANSWER_MARGIN_S = 2.0  # time after the deadline after which a client stops waiting
MIN_LINE_INTERVAL_S = 0.1
MAX_LINE_INTERVAL_S = 0.5
REST_PROBABILITY = 0.15  # a client that rests after PONG before it sends its request
MAX_REST_S = 1.5
EARLY_DISCONNECT_PROBABILITY = 0.08
MAX_DISCONNECT_DELAY_S = 0.3
SESSION_DISCONNECT_PROBABILITY = 0.05  # for each line
MIN_RECONNECT_S = 0.02
MAX_RECONNECT_S = 0.2
RETRY_DELAY_S = 0.3
IDLE_CLIENT_S = 1.5
CONNECT_TIMEOUT_S = 5.0


class Front:
    """Sends clients to balancers that it has admitted, and makes the ids of their requests."""

    def __init__(self, seed: int, balancers: list[SoakBalancer]) -> None:
        self._ids = itertools.count(1)
        self._seed = seed
        self._balancers = balancers

    def choose(self, rng: random.Random) -> SoakBalancer | None:
        """Return one of the admitted balancers."""
        admitted = [balancer for balancer in self._balancers if balancer.is_admitted]
        return rng.choice(admitted) if admitted else None

    def new_id(self) -> str:
        """Return a fresh request id."""
        return f"{self._seed:08x}{next(self._ids):08x}"


class SoakClient:
    """One client. `run` ends when the front has closed and its session has ended."""

    def __init__(
        self, number: int, record: RunRecord, front: Front, rng: random.Random, wait_s: dict[str, float]
    ) -> None:
        self.is_closing = False
        self._key = f"key{number}"
        self._record = record
        self._front = front
        self._rng = rng
        self._wait_s = wait_s

    async def run(self) -> None:
        """Connect again and again until `is_closing` is set."""
        while not self.is_closing:
            balancer = self._front.choose(self._rng)
            if balancer:
                with suppress(OSError):  # refused: the process has ended since
                    await self._connect(balancer)
            await asyncio.sleep(self._rng.uniform(MIN_RECONNECT_S, MAX_RECONNECT_S))

    async def _connect(self, balancer: SoakBalancer) -> None:
        stream = LineStream.unconnected()
        try:
            await stream.connect(balancer.listen, CONNECT_TIMEOUT_S)
            if self._rng.random() < REST_PROBABILITY and not await self._rest(stream):
                return
            if stream.is_unusable():
                return
            await self._request(stream, balancer)
        finally:
            stream.close()

    async def _rest(self, stream: LineStream) -> bool:
        """Send PING and rest. Return whether the connection is still open."""
        stream.send_now(b"PING\r\n")
        if await stream.read_line() != b"PONG\r\n":
            return False
        await asyncio.sleep(self._rng.uniform(0, MAX_REST_S))
        return not self.is_closing

    async def _request(self, stream: LineStream, balancer: SoakBalancer) -> None:
        loop = asyncio.get_running_loop()
        service_class = self._rng.choice(CLASSES)
        wait_s = self._wait_s[service_class]
        id = self._front.new_id()
        line = f"OPEN {id} {self._key} c={service_class},d={int(wait_s * 1000)},g={self._key}\r\n"
        request = ClientRequest(id, service_class, balancer.life, loop.time(), wait_s)
        self._record.requests.append(request)
        stream.send_now(line.encode())
        if self._rng.random() < EARLY_DISCONNECT_PROBABILITY:
            with recording_the_end(request):
                await self._disconnect_early(stream, request)
            return
        with recording_the_end(request):
            async with asyncio.timeout(wait_s + ANSWER_MARGIN_S):
                answer = await stream.read_line()
            if answer:
                await self._on_answer(stream, request, ReceivedLine(loop.time(), text_of(answer)))

    async def _disconnect_early(self, stream: LineStream, request: ClientRequest) -> None:
        await asyncio.sleep(self._rng.uniform(0, MAX_DISCONNECT_DELAY_S))
        stream.close(reset=self._rng.random() < 0.5)
        request.disconnected_at_s = asyncio.get_running_loop().time()
        request.end(Ending.DISCONNECTED, request.disconnected_at_s)

    async def _on_answer(self, stream: LineStream, request: ClientRequest, answer: ReceivedLine) -> None:
        request.answer = answer
        if request.is_established:
            await SessionUser(stream, request, self._rng, lambda: self.is_closing).run()
            return
        request.end(Ending.REJECTED if answer.text.startswith("BUSY") else Ending.FAILED, answer.at_s)
        if line := await stream.read_line():
            request.unexpected_lines.append(ReceivedLine(asyncio.get_running_loop().time(), text_of(line)))
        await asyncio.sleep(self._rng.uniform(0, RETRY_DELAY_S))


class SessionUser:
    """Uses an established session: sends a line, waits until it comes back, and so on."""

    def __init__(
        self, stream: LineStream, request: ClientRequest, rng: random.Random, is_closing: Callable[[], bool]
    ) -> None:
        self._stream = stream
        self._request = request
        self._rng = rng
        self._is_closing = is_closing
        self._loop = asyncio.get_running_loop()

    async def run(self) -> None:
        """Use the session until either side ends it."""
        for number in itertools.count():
            line = f"m{number} {self._request.id}"
            sent_at_s = self._loop.time()
            await self._stream.send(f"{line}\r\n".encode())
            if not await self._read_until(line):
                return
            self._request.echoes.append(Echo(sent_at_s, self._loop.time() - sent_at_s))
            if not self._is_closing() and self._rng.random() < SESSION_DISCONNECT_PROBABILITY:
                self._request.disconnected_at_s = self._loop.time()
                self._request.end(Ending.DISCONNECTED, self._loop.time())
                return
            if not await self._rest():
                return

    async def _rest(self) -> bool:
        """Read for a while without sending. Return whether the session is still open."""
        with suppress(TimeoutError):
            async with asyncio.timeout(self._rng.uniform(MIN_LINE_INTERVAL_S, MAX_LINE_INTERVAL_S)):
                return await self._read_until(None)
        return True

    async def _read_until(self, expected: str | None) -> bool:
        """Read lines until `expected` arrives. Return False if the session has ended before."""
        while line := await self._stream.read_line(cancel_safe=True):
            text = text_of(line)
            if text == expected:
                return True
            if text in ("MOVE", "BYE"):
                ending = Ending.MIGRATED if text == "MOVE" else Ending.SERVED
                self._request.end(ending, self._loop.time())
                await self._read_past_the_end()
                return False
            if not text.startswith("LOAD "):
                self._request.unexpected_lines.append(ReceivedLine(self._loop.time(), text))
        self._request.end(Ending.CLOSED, self._loop.time())
        return False

    async def _read_past_the_end(self) -> None:
        """Record each line that follows the final one."""
        with suppress(OSError):
            while line := await self._stream.read_line():
                self._request.unexpected_lines.append(ReceivedLine(self._loop.time(), text_of(line)))


class IdleCrowd:
    """Idle clients that fill the descriptors of a balancer for a while."""

    def __init__(self, size: int) -> None:
        self._size = size

    async def visit(self, balancer: SoakBalancer) -> None:
        """Open connections, half of them after a PING, and close them after a while."""
        streams: list[LineStream] = []
        try:
            for number in range(self._size):
                stream = LineStream.unconnected()
                streams.append(stream)
                with suppress(OSError):
                    await stream.connect(balancer.listen, CONNECT_TIMEOUT_S)
                    if number % 2:
                        stream.send_now(b"PING\r\n")
            await asyncio.sleep(IDLE_CLIENT_S)
        finally:
            for stream in streams:
                stream.close()


@contextmanager
def recording_the_end(request: ClientRequest) -> Iterator[None]:
    """Record a connection that is closed or reset without a final line, and a client that is cancelled."""
    loop = asyncio.get_running_loop()
    try:
        yield
    except OSError:  # TimeoutError is one: the client stops waiting
        pass
    except asyncio.CancelledError:
        if request.ending is Ending.OPEN:
            request.disconnected_at_s = loop.time()
            request.end(Ending.DISCONNECTED, loop.time())
        raise
    if request.ending is Ending.OPEN:
        request.end(Ending.CLOSED, loop.time())


def text_of(line: bytes) -> str:
    """Return a line without its end."""
    return line.removesuffix(b"\r\n").decode(errors="replace")
