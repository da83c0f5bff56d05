"""Sans-I/O decoder of discovery's answers: bytes of one HTTP response in, messages out.

The answer to a watch is a stream of endpoint lists. Each ends with a line break, and empty lines between them
are keepalives. The answer to a call for the complete list has one list as its body.
"""

import json
import re
from collections.abc import Iterator
from dataclasses import dataclass

import httptools

from wheatstile.config.endpoints import EndpointSnapshot

HTTP_OK = 200
MAX_LIST_BYTES = 1 << 22  # about 20,000 servers on one line, or 10,000 in an indented list
JSON_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')


class DiscoveryError(Exception):
    """A call to discovery failed, or its answer cannot be used."""


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """The response's status and headers have been received."""


@dataclass(frozen=True, slots=True)
class Keepalive:
    """An empty line: nothing has changed."""


Message = ResponseStarted | Keepalive | EndpointSnapshot


class EndpointStreamDecoder:
    """Decodes one response.

    `is_stream`: whether the body is a stream of lists, each ended by a line break, and not a single list.
    """

    def __init__(self, *, is_stream: bool) -> None:
        self.is_complete = False  # whether the response has ended
        self._is_stream = is_stream
        self._parser = httptools.HttpResponseParser(self)
        self._splitter = _ListSplitter()
        self._messages: list[Message] = []
        self._error: DiscoveryError | None = None  # kept, since httptools wraps errors of its callbacks
        self._is_started = False

    def receive(self, data: bytes | memoryview) -> Iterator[Message]:
        """Yield the messages that are complete with this data.

        Raises DiscoveryError, after the last valid message, for a status other than 200, for a list that is
        invalid or too large, and for the end of a stream.
        """
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(str(error) or type(error).__name__)
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
        self._splitter.append(body)
        if self._is_stream:
            for text in self._splitter.take_lists():
                self._decode(text)
        if self._splitter.size > MAX_LIST_BYTES:
            self._fail("discovery sent a list without an end")

    def on_message_complete(self) -> None:
        """Handle the end of the body (called by httptools)."""
        self.is_complete = True
        if not self._is_stream:
            self._decode(self._splitter.unfinished_line)

    def _decode(self, text: bytes) -> None:
        """Decode one list, or an empty line. Input after an error is ignored."""
        if self._error:
            return
        if not text.strip():
            self._messages.append(Keepalive())
            return
        try:
            self._messages.append(EndpointSnapshot.read(json.loads(text)))
        except (ValueError, KeyError, TypeError, AttributeError, OSError, RecursionError) as error:
            self._fail(f"discovery sent no list: {error!r}")

    def _fail(self, reason: str) -> None:
        """Keep the first error; `receive` raises it."""
        self._error = self._error or DiscoveryError(reason)


class _ListSplitter:
    """Splits a body into lists. A list may extend over several lines, and ends with its last closing bracket.

    `size`: the bytes of the current list.
    """

    def __init__(self) -> None:
        self.size = 0
        self._unfinished_line = bytearray()
        self._list_lines: list[bytes] = []  # the complete lines of the current list
        self._open_brackets = 0  # brackets that are open at the end of these lines

    @property
    def unfinished_line(self) -> bytes:
        """The bytes since the last line break at which `take_lists` has split."""
        return bytes(self._unfinished_line)

    def append(self, body: bytes) -> None:
        """Add a part of the body."""
        self._unfinished_line += body
        self.size += len(body)

    def take_lists(self) -> Iterator[bytes]:
        """Yield each complete list or empty line, and remove it."""
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
    """Return the number of opening brackets minus that of closing ones, without those in JSON strings."""
    text = JSON_STRING.sub(b"", line)
    opening = text.count(b"{") + text.count(b"[")
    closing = text.count(b"}") + text.count(b"]")
    return opening - closing
