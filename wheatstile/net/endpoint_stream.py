"""Sans-I/O decoder for discovery's HTTP responses.

The response to a watch is a stream of endpoint lists. Each list ends with a line break, and empty lines
between lists are keepalives. The response to a request for the complete list contains one list.
"""

import json
import re
from collections.abc import Iterator
from dataclasses import dataclass

import httptools

from wheatstile.config.endpoints import EndpointSnapshot

HTTP_OK = 200
MAX_LIST_BYTES = 1 << 22  # about 20,000 servers in a compact list, or 10,000 in an indented one
JSON_STRING_PATTERN = re.compile(rb'"(?:[^"\\]|\\.)*"')


class DiscoveryError(Exception):
    """A call to discovery failed, or its response is invalid."""


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """The status and headers of the response have been received."""


@dataclass(frozen=True, slots=True)
class Keepalive:
    """An empty line, which reports that nothing has changed."""


Message = ResponseStarted | Keepalive | EndpointSnapshot


class EndpointStreamDecoder:
    """Decodes one HTTP response.

    `is_stream`: whether the body is a stream of lists (a watch) rather than a single list.
    """

    def __init__(self, *, is_stream: bool) -> None:
        self.is_complete = False  # whether the whole response has been received
        self._is_stream = is_stream
        self._parser = httptools.HttpResponseParser(self)
        self._splitter = _ListSplitter()
        self._messages: list[Message] = []
        self._error: DiscoveryError | None = None  # stored, since httptools wraps callback exceptions
        self._is_started = False

    def receive(self, data: bytes | memoryview) -> Iterator[Message]:
        """Yield the messages that are complete with this data.

        Raises DiscoveryError, after the last valid message, for a status other than 200, for a list that is
        invalid or too large, and when a stream ends.
        """
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(str(error) or type(error).__name__)
        messages = self._messages
        self._messages = []
        yield from messages
        if self._is_started and (status := self._parser.get_status_code()) != HTTP_OK:
            raise DiscoveryError(f"discovery answered with status {status}")
        if self._error:
            raise self._error
        if self.is_complete and self._is_stream:
            raise DiscoveryError("discovery ended the watch")

    def on_headers_complete(self) -> None:
        """Handle the end of the headers (called by httptools)."""
        self._is_started = True
        self._messages.append(ResponseStarted())

    def on_body(self, body: bytes) -> None:
        """Handle a chunk of the body (called by httptools)."""
        self._splitter.append(body)
        if self._is_stream:
            for text in self._splitter.take_lists():
                self._decode(text)
        if self._splitter.size > MAX_LIST_BYTES:
            self._fail("endpoint list from discovery exceeds the size limit")

    def on_message_complete(self) -> None:
        """Handle the end of the body (called by httptools)."""
        self.is_complete = True
        if not self._is_stream:
            self._decode(self._splitter.unfinished_line)

    def _decode(self, text: bytes) -> None:
        """Decode one list or empty line. Input after an error is ignored."""
        if self._error:
            return
        if not text.strip():
            self._messages.append(Keepalive())
            return
        try:
            self._messages.append(EndpointSnapshot.read(json.loads(text)))
        except (ValueError, KeyError, TypeError, AttributeError, OSError, RecursionError) as error:
            self._fail(f"invalid endpoint list from discovery: {error!r}")

    def _fail(self, reason: str) -> None:
        """Store the error for `receive` to raise. Later errors are ignored."""
        self._error = self._error or DiscoveryError(reason)


class _ListSplitter:
    """Splits a body into lists. A list may span several lines; it ends where all its brackets are closed.

    `size`: the number of bytes received of the current list.
    """

    def __init__(self) -> None:
        self.size = 0
        self._unfinished_line = bytearray()
        self._list_lines: list[bytes] = []  # complete lines of the current list
        self._open_brackets = 0  # number of unclosed brackets in _list_lines

    @property
    def unfinished_line(self) -> bytes:
        """The bytes after the last line break that `take_lists` has processed."""
        return bytes(self._unfinished_line)

    def append(self, body: bytes) -> None:
        """Append a chunk of the body."""
        self._unfinished_line += body
        self.size += len(body)

    def take_lists(self) -> Iterator[bytes]:
        """Remove and yield each complete list or empty line."""
        if b"\n" not in self._unfinished_line:
            return
        *lines, rest = self.unfinished_line.split(b"\n")
        self._unfinished_line = bytearray(rest)
        for line in lines:
            self._list_lines.append(line)
            self._open_brackets += _bracket_balance(line)
            if self._open_brackets <= 0:
                yield b"\n".join(self._list_lines)
                self._list_lines = []
                self._open_brackets = 0
                self.size = len(rest)


def _bracket_balance(line: bytes) -> int:
    """Return opening brackets minus closing brackets. Brackets in JSON strings do not count."""
    text = JSON_STRING_PATTERN.sub(b"", line)
    opening = text.count(b"{") + text.count(b"[")
    closing = text.count(b"}") + text.count(b"]")
    return opening - closing
