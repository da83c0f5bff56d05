"""Clients of the soak test. Each uses one session at a time, and reconnects when the session ends."""

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
ANSWER_MARGIN_S = 2.0  # a client waits for an answer until its timeout and this time have elapsed
MIN_LINE_INTERVAL_S = 0.1
MAX_LINE_INTERVAL_S = 0.5
IDLE_BEFORE_REQUEST_PROBABILITY = 0.15  # the client sends PING and stays idle before its request
MAX_IDLE_S = 1.5
EARLY_DISCONNECT_PROBABILITY = 0.08  # applies to each request
MAX_DISCONNECT_DELAY_S = 0.3
SESSION_DISCONNECT_PROBABILITY = 0.05  # applies to each echoed line
MIN_RECONNECT_DELAY_S = 0.02
MAX_RECONNECT_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 0.3
IDLE_CLIENTS_DURATION_S = 1.5
CONNECT_TIMEOUT_S = 5.0


class BalancerSelector:
    """Selects a balancer for each new connection, like a load balancer in front of all of them.

    It also generates the request ids.
    """

    def __init__(self, seed: int, balancers: list[SoakBalancer]) -> None:
        self._ids = itertools.count(1)
        self._seed = seed
        self._balancers = balancers

    def select(self, rng: random.Random) -> SoakBalancer | None:
        """Return a random balancer that accepts new clients, or None."""
        available = [balancer for balancer in self._balancers if balancer.accepts_new_clients]
        return rng.choice(available) if available else None

    def new_request_id(self) -> str:
        """Return an unused request id."""
        return f"{self._seed:08x}{next(self._ids):08x}"


class SoakClient:
    """One client. It has one connection at a time.

    Attributes:
        is_closing: True if the client must not reconnect after its current connection ends.
    """

    def __init__(
        self,
        number: int,
        record: RunRecord,
        selector: BalancerSelector,
        rng: random.Random,
        timeouts_s: dict[str, float],
    ) -> None:
        self.is_closing = False
        self._key = f"key{number}"
        self._record = record
        self._selector = selector
        self._rng = rng
        self._timeouts_s = timeouts_s

    async def run(self) -> None:
        """Connect repeatedly until `is_closing` is set."""
        while not self.is_closing:
            balancer = self._selector.select(self._rng)
            if balancer:
                with suppress(OSError):  # the connection is refused if the process has ended meanwhile
                    await self._connect(balancer)
            await asyncio.sleep(self._rng.uniform(MIN_RECONNECT_DELAY_S, MAX_RECONNECT_DELAY_S))

    async def _connect(self, balancer: SoakBalancer) -> None:
        stream = LineStream.unconnected()
        try:
            await stream.connect(balancer.listen, CONNECT_TIMEOUT_S)
            if self._rng.random() < IDLE_BEFORE_REQUEST_PROBABILITY and not await self._stay_idle(stream):
                return
            if stream.is_unusable():
                return
            await self._send_request(stream, balancer)
        finally:
            stream.close()

    async def _stay_idle(self, stream: LineStream) -> bool:
        """Send PING, and send nothing for a while. Return whether to send the request."""
        stream.send_now(b"PING\r\n")
        if await stream.read_line() != b"PONG\r\n":
            return False
        await asyncio.sleep(self._rng.uniform(0, MAX_IDLE_S))
        return not self.is_closing

    async def _send_request(self, stream: LineStream, balancer: SoakBalancer) -> None:
        loop = asyncio.get_running_loop()
        service_class = self._rng.choice(CLASSES)
        timeout_s = self._timeouts_s[service_class]
        id = self._selector.new_request_id()
        line = f"OPEN {id} {self._key} c={service_class},d={int(timeout_s * 1000)},g={self._key}\r\n"
        request = ClientRequest(id, service_class, balancer.process_record, loop.time(), timeout_s)
        self._record.requests.append(request)
        stream.send_now(line.encode())
        if self._rng.random() < EARLY_DISCONNECT_PROBABILITY:
            with record_ending(request):
                await self._disconnect_early(stream, request)
            return
        with record_ending(request):
            async with asyncio.timeout(timeout_s + ANSWER_MARGIN_S):
                answer = await stream.read_line()
            if answer:
                await self._on_answer(stream, request, ReceivedLine(loop.time(), decode_line(answer)))

    async def _disconnect_early(self, stream: LineStream, request: ClientRequest) -> None:
        await asyncio.sleep(self._rng.uniform(0, MAX_DISCONNECT_DELAY_S))
        stream.close(reset=self._rng.random() < 0.5)
        request.disconnected_at_s = asyncio.get_running_loop().time()
        request.end(Ending.DISCONNECTED, request.disconnected_at_s)

    async def _on_answer(self, stream: LineStream, request: ClientRequest, answer: ReceivedLine) -> None:
        request.answer = answer
        if request.is_established:
            await SessionTraffic(stream, request, self._rng, lambda: self.is_closing).run()
            return
        request.end(Ending.REJECTED if answer.text.startswith("BUSY") else Ending.FAILED, answer.at_s)
        if line := await stream.read_line():
            request.unexpected_lines.append(
                ReceivedLine(asyncio.get_running_loop().time(), decode_line(line))
            )
        await asyncio.sleep(self._rng.uniform(0, MAX_RETRY_DELAY_S))


class SessionTraffic:
    """Sends lines on an established session, each after the echo of the line before it."""

    def __init__(
        self, stream: LineStream, request: ClientRequest, rng: random.Random, is_closing: Callable[[], bool]
    ) -> None:
        self._stream = stream
        self._request = request
        self._rng = rng
        self._is_closing = is_closing
        self._loop = asyncio.get_running_loop()

    async def run(self) -> None:
        """Send lines and wait for their echoes until either side ends the session, and read what follows."""
        await self._exchange_lines()
        if self._request.ending in (Ending.MIGRATED, Ending.SERVED):
            await self._read_after_final_line()

    async def _exchange_lines(self) -> None:
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
            if not await self._stay_idle():
                return

    async def _stay_idle(self) -> bool:
        """Read without sending for a while. Return whether the session is still open."""
        with suppress(TimeoutError):
            async with asyncio.timeout(self._rng.uniform(MIN_LINE_INTERVAL_S, MAX_LINE_INTERVAL_S)):
                return await self._read_until(None)
        return True

    async def _read_until(self, expected: str | None) -> bool:
        """Read lines until `expected` arrives. Return False if the session ends first."""
        while line := await self._stream.read_line(cancel_safe=True):
            text = decode_line(line)
            if text == expected:
                return True
            if text in ("MOVE", "BYE"):
                ending = Ending.MIGRATED if text == "MOVE" else Ending.SERVED
                self._request.end(ending, self._loop.time())
                return False
            if not text.startswith("LOAD "):
                self._request.unexpected_lines.append(ReceivedLine(self._loop.time(), text))
        self._request.end(Ending.CLOSED, self._loop.time())
        return False

    async def _read_after_final_line(self) -> None:
        """Record each line after MOVE or BYE as unexpected."""
        with suppress(OSError):
            while line := await self._stream.read_line():
                self._request.unexpected_lines.append(ReceivedLine(self._loop.time(), decode_line(line)))


class IdleClients:
    """Idle clients that use up the descriptors of a balancer for a while."""

    def __init__(self, count: int) -> None:
        self._count = count

    async def occupy(self, balancer: SoakBalancer) -> None:
        """Open connections, send PING on every second one, and close all after a fixed time."""
        streams: list[LineStream] = []
        try:
            for number in range(self._count):
                stream = LineStream.unconnected()
                streams.append(stream)
                with suppress(OSError):
                    await stream.connect(balancer.listen, CONNECT_TIMEOUT_S)
                    if number % 2:
                        stream.send_now(b"PING\r\n")
            await asyncio.sleep(IDLE_CLIENTS_DURATION_S)
        finally:
            for stream in streams:
                stream.close()


@contextmanager
def record_ending(request: ClientRequest) -> Iterator[None]:
    """Record the end of a connection that ends without a final line, or whose client task is cancelled."""
    loop = asyncio.get_running_loop()
    try:
        yield
    except OSError:  # includes TimeoutError, when the client stops waiting for its answer
        pass
    except asyncio.CancelledError:
        if request.ending is Ending.OPEN:
            request.disconnected_at_s = loop.time()
            request.end(Ending.DISCONNECTED, loop.time())
        raise
    if request.ending is Ending.OPEN:
        request.end(Ending.CLOSED, loop.time())


def decode_line(line: bytes) -> str:
    """Return the text of a line without its CRLF."""
    return line.removesuffix(b"\r\n").decode(errors="replace")
