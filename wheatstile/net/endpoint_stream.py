"""Decoder of discovery's answers, sans-I/O: bytes of one HTTP response in, messages out.

A watch is answered by a stream of endpoint lists, each ended by a line break, with empty lines as keepalives
between them. A call for the complete list is answered by one list, which is the whole body.
"""

import json
import re
from collections.abc import Iterator
from dataclasses import dataclass

import httptools

from wheatstile.config.endpoints import EndpointSnapshot

HTTP_OK = 200
MAX_LIST_BYTES = 1 << 22  # twenty thousand servers take about as much, ten thousand if the list is indented
JSON_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')


class DiscoveryError(Exception):
    """A call to discovery failed, or its answer cannot be used."""


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """The response's status and headers have come."""


@dataclass(frozen=True, slots=True)
class Keepalive:
    """An empty line: nothing has changed."""


Message = ResponseStarted | Keepalive | EndpointSnapshot


class EndpointStreamDecoder:
    """Decodes one response. With `is_stream` each list ends with a line, else it is the whole body."""

    def __init__(self, *, is_stream: bool) -> None:
        self.is_complete = False  # the response has ended
        self._is_stream = is_stream
        self._parser = httptools.HttpResponseParser(self)
        self._lines = _ListSplitter()
        self._messages: list[Message] = []
        self._error: DiscoveryError | None = None  # httptools would wrap what its callbacks raise
        self._is_started = False

    def receive(self, data: bytes | memoryview) -> Iterator[Message]:
        """Yield the messages that are complete with this data.

        Raises DiscoveryError, after the last message that is valid, for any status but 200, for what is no
        list or too large, and for a stream that has ended.
        """
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._error = self._error or DiscoveryError(str(error) or type(error).__name__)
        messages = self._messages
        self._messages = []
        yield from messages
        if self._is_started and (status := self._parser.get_status_code()) != HTTP_OK:
            raise DiscoveryError(f"discovery answered {status}")
        if self._error:
            raise self._error
        if self.is_complete and self._is_stream:
            raise DiscoveryError("discovery ended the watch")

    def on_headers_complete(self) -> None:
        """Handle the end of the headers (called by httptools)."""
        self._is_started = True
        self._messages.append(ResponseStarted())

    def on_body(self, body: bytes) -> None:
        """Handle a part of the body (called by httptools)."""
        self._lines.append(body)
        if self._is_stream:
            for text in self._lines.take_lists():
                self._decode(text)
        if self._lines.size > MAX_LIST_BYTES:
            self._error = self._error or DiscoveryError("discovery sent a list without an end")

    def on_message_complete(self) -> None:
        """Handle the end of the body (called by httptools)."""
        self.is_complete = True
        if not self._is_stream:
            self._decode(self._lines.unfinished_line)

    def _decode(self, text: bytes) -> None:
        if self._error:
            return
        if not text.strip():
            self._messages.append(Keepalive())
            return
        try:
            self._messages.append(EndpointSnapshot.read(json.loads(text)))
        except (ValueError, KeyError, TypeError, AttributeError, OSError, RecursionError) as error:
            self._error = DiscoveryError(f"discovery sent no list: {error!r}")


class _ListSplitter:
    """Splits a body into lists, each on one line or indented over several.

    A list ends with the line that closes its brackets.
    """

    def __init__(self) -> None:
        self.size = 0  # bytes of the list that has begun
        self._unfinished_line = bytearray()
        self._list_lines: list[bytes] = []  # of the list that has begun
        self._open_brackets = 0  # in these lines

    @property
    def unfinished_line(self) -> bytes:
        """What has come since the last line break that was looked for."""
        return bytes(self._unfinished_line)

    def append(self, body: bytes) -> None:
        """Add a part of the body."""
        self._unfinished_line += body
        self.size += len(body)

    def take_lists(self) -> Iterator[bytes]:
        """Yield each list, or empty line, that is complete."""
        if b"\n" not in self._unfinished_line:
            return
        *lines, rest = self.unfinished_line.split(b"\n")
        self._unfinished_line = bytearray(rest)
        for line in lines:
            self._list_lines.append(line)
            without_strings = JSON_STRING.sub(b"", line)
            self._open_brackets += sum(map(without_strings.count, b"{["))
            self._open_brackets -= sum(map(without_strings.count, b"}]"))
            if self._open_brackets <= 0:
                yield b"\n".join(self._list_lines)
                self._list_lines = []
                self._open_brackets = 0
                self.size = len(rest)
