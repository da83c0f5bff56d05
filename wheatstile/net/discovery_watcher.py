"""Discovery: the resolver result, read from its JSON, and the watch that keeps it up to date."""

import asyncio
import json
import re
import socket
from collections.abc import Callable
from typing import Protocol

import httptools
import structlog

from wheatstile import interface as api
from wheatstile.config.endpoints import EndpointSnapshot
from wheatstile.net.decision_loop import DecisionLoop
from wheatstile.net.upstream_pool import UpstreamPool

log = structlog.get_logger()

PATH = "/discovery/hosts"
CALL_WITHIN = 5.0  # seconds from a call to the head of its answer: calls wait for their turn, some for 3 s
# Seconds without a whole list or an empty line, which is due every 2 s. What a silent watch misses counts as
# told after 6 s: of these, 3 are left for the back-off (1.5 s at most) and the next call.
SILENT_AFTER = 3.0
LIST_MAX = 1 << 22  # bytes of one list; twenty thousand servers take about as much, ten thousand if indented
STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')


class DiscoveryError(Exception):
    """A call to discovery failed, or what it said cannot be used."""


class EndpointObserver(Protocol):
    """Whom discovery tells: it alone, or together with others, makes the list that the module is told."""

    def on_update(self, result: EndpointSnapshot, kind: api.EndpointUpdateKind) -> None:
        """A list, or changes to one."""

    def on_keepalive(self) -> None:
        """Nothing has changed."""

    def on_failure(self) -> None:
        """A call has ended; the module is told so apart from this."""


class DiscoveryOnlyObserver:
    """Discovery alone: what it tells is the list."""

    def __init__(self, decisions: DecisionLoop, upstreams: UpstreamPool) -> None:
        self.decisions, self.upstreams = decisions, upstreams

    def on_update(self, result: EndpointSnapshot, kind: api.EndpointUpdateKind) -> None:
        self.upstreams.update(result.members, kind is not api.EndpointUpdateKind.DELTA)
        self.decisions.dispatch(api.EndpointUpdate(kind, result.endpoints))

    def on_keepalive(self) -> None:
        pass

    def on_failure(self) -> None:
        pass


class DiscoveryWatcher:
    """Owns the watch. Each result goes to the observer, a failure to the module as one event."""

    def __init__(self, decisions: DecisionLoop, observer: EndpointObserver, address: tuple[str, int]) -> None:
        self.decisions, self.observer, self.address = decisions, observer, address
        self.revision = 0
        self._strange = False  # the revision is another discovery's
        self._silent = False  # calls fail, and it has been logged
        self._first = True  # nothing has come on this watch yet
        self._watch: asyncio.Task[None] | None = None

    def on_update(self, result: EndpointSnapshot, kind: api.EndpointUpdateKind) -> None:
        # A full list replaces all that stood, and so does its revision: a discovery may count anew.
        self.revision = result.revision if result.complete else max(self.revision, result.revision)
        self.observer.on_update(result, kind)

    def watch(self) -> None:
        """Ask for changes from now on. A watch that stands does so already, and is not asked for twice."""
        if self._watch is None or self._watch.done():
            self._watch = asyncio.create_task(self._run())

    def follow(self, address: tuple[str, int]) -> None:
        """Discovery is at another address from now on. The end of the old watch is no failure.

        The list stands meanwhile. Its revision says nothing there, and changes since any other may leave out
        what the old discovery never told: so the whole list is asked for before its changes.
        """
        if address != self.address:
            self.close()
            self.address, self._strange, self._watch = address, True, None
            self.decisions.dispatch(api.EndpointUpdate(api.EndpointUpdateKind.MOVED))

    def close(self) -> None:
        if self._watch:
            self._watch.cancel()

    async def _run(self) -> None:
        """One watch to its end, which is told as one failure; when to ask again is for the module to say."""
        try:
            await self._follow()
        except (DiscoveryError, OSError, TimeoutError, httptools.HttpParserError) as error:
            if not self._silent:  # discovery may be out of reach for long, and balancers are many
                log.warning("the watch ended", reason=str(error) or type(error).__name__)
            self._silent = True
        except Exception:
            log.exception("the watch failed")
        self.decisions.counters["watch failures"] += 1
        self.observer.on_failure()
        self.decisions.dispatch(api.EndpointUpdate(api.EndpointUpdateKind.FAILED))

    async def _follow(self) -> None:
        if self._strange:
            await self._call(PATH, whole=True)
            self._strange = False
        self._first = True
        await self._call(f"{PATH}?watch=1&after={self.revision}")

    async def _call(self, path: str, whole: bool = False) -> None:
        """One call on a connection of its own, until its answer is whole; a watch's never is."""
        loop = asyncio.get_running_loop()
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
            sock.setblocking(False)
            silent_at = loop.time() + CALL_WITHIN
            async with asyncio.timeout_at(silent_at):
                await loop.sock_connect(sock, self.address)
                host, port = self.address
                await loop.sock_sendall(sock, f"GET {path} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode())
            answer = _Answer(self._text, whole)
            parser = httptools.HttpResponseParser(answer)
            buffer = memoryview(bytearray(16384))
            while not (whole and answer.over):
                if answer.alive:  # bytes alone are no life: a list that never ends tells nothing
                    answer.alive, silent_at = False, loop.time() + SILENT_AFTER
                async with asyncio.timeout_at(silent_at):
                    count = await loop.sock_recv_into(sock, buffer)
                if not count:
                    raise DiscoveryError("discovery closed the call")
                parser.feed_data(buffer[:count])
                answer.check(parser.get_status_code() if answer.begun else 0)

    def _text(self, text: bytes) -> None:
        """A list, or an empty line."""
        result = None
        if text.strip():
            try:
                result = EndpointSnapshot.read(json.loads(text))
            except (ValueError, KeyError, TypeError, AttributeError, OSError, RecursionError) as error:
                raise DiscoveryError(f"discovery sent no list: {error!r}") from error
        # A change from before the list that stands would undo what is known by now.
        new = result if result and (result.complete or result.revision > self.revision) else None
        self._silent = False
        if self._first:  # the watch stands, also where it has nothing to tell: its back-off starts anew
            self._first = False
            if new is None:
                self.decisions.dispatch(api.EndpointUpdate(api.EndpointUpdateKind.DELTA))
        if new:
            self.on_update(new, api.EndpointUpdateKind.FULL if new.complete else api.EndpointUpdateKind.DELTA)
        else:
            self.observer.on_keepalive()


class _Answer:
    """What httptools calls while it reads one answer; lists go on as they come, or the whole body as one.

    A list may stand on one line or be indented over several: it ends with the line that closes its brackets.
    """

    def __init__(self, text: Callable[[bytes], None], whole: bool) -> None:
        self._text, self._whole = text, whole
        self._lines: list[bytes] = []  # of a list that has begun
        self._open = 0  # brackets in them that are not closed
        self._rest = bytearray()  # of a line
        self._size = 0  # of all that
        self.begun = self.over = False
        self.alive = False  # a list or an empty line has come whole since somebody set this to False
        self.error: DiscoveryError | None = None

    def on_headers_complete(self) -> None:
        self.begun = self.alive = True

    def on_message_complete(self) -> None:
        self.over = True
        if self._whole:
            self._take(bytes(self._rest))

    def on_body(self, body: bytes) -> None:
        self._rest += body
        self._size += len(body)
        if not self._whole and b"\n" in body:
            *lines, rest = bytes(self._rest).split(b"\n")
            self._rest = bytearray(rest)
            for line in lines:
                self._line(line)
        if self._size > LIST_MAX:
            self.error = self.error or DiscoveryError("discovery sent a list without an end")

    def _line(self, line: bytes) -> None:
        self._lines.append(line)
        bare = STRING.sub(b"", line)
        self._open += sum(map(bare.count, b"{[")) - sum(map(bare.count, b"}]"))
        if self._open <= 0:
            self._take(b"\n".join(self._lines))
            self._lines, self._open, self._size = [], 0, len(self._rest)

    def _take(self, text: bytes) -> None:
        if self.error:
            return
        try:
            self._text(text)
            self.alive = True
        except DiscoveryError as error:  # httptools would wrap it
            self.error = error

    def check(self, status: int) -> None:
        if status and status != 200:
            raise DiscoveryError(f"discovery answered {status}")
        if self.error:
            raise self.error
        if self.over and not self._whole:
            raise DiscoveryError("discovery ended the watch")
