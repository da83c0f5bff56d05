"""Tests of the decoder for discovery's responses."""

import json

import pytest

from wheatstile.config.endpoints import EndpointSnapshot
from wheatstile.net.endpoint_stream import (
    MAX_LIST_BYTES,
    DiscoveryError,
    EndpointStreamDecoder,
    Keepalive,
    Message,
    ResponseStarted,
)

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def endpoint_list(revision: int, *, complete: bool = False, indent: int | None = None) -> bytes:
    """Return an endpoint list with one server whose name contains a quotation mark and a bracket."""
    member = {"id": 'a"}', "phase": "ready", "host_port": "127.0.0.1:80"}
    return json.dumps(
        {"revision": revision, "complete": complete, "members": [member]}, indent=indent
    ).encode()


def chunk(body: bytes) -> bytes:
    """Return the body as one chunk of a chunked response."""
    return b"%x\r\n%b\r\n" % (len(body), body)


def summary(messages: list[Message]) -> list[int | type[Message]]:
    """Return the revision of each list, and the type of each other message."""
    return [
        message.revision if isinstance(message, EndpointSnapshot) else type(message) for message in messages
    ]


@pytest.mark.parametrize("piece_bytes", [1, 2, 7, 100, 100_000])
def test_messages_do_not_depend_on_how_the_stream_is_split(piece_bytes: int) -> None:
    bodies = [endpoint_list(1, complete=True), b"\n", b"\n", endpoint_list(2, indent=1) + b"\n"]
    stream = CHUNKED + b"".join(chunk(body) for body in bodies)
    decoder = EndpointStreamDecoder(is_stream=True)
    messages: list[Message] = []
    for start in range(0, len(stream), piece_bytes):
        messages += decoder.receive(stream[start : start + piece_bytes])
    assert summary(messages) == [ResponseStarted, 1, Keepalive, 2]
    assert not decoder.is_complete


def test_complete_list_is_decoded_at_the_end_of_the_body() -> None:
    body = endpoint_list(7, complete=True, indent=2)
    decoder = EndpointStreamDecoder(is_stream=False)
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
    assert summary(list(decoder.receive(head + body[:50]))) == [ResponseStarted]
    assert not decoder.is_complete
    assert summary(list(decoder.receive(body[50:]))) == [7]
    assert decoder.is_complete


@pytest.mark.parametrize(
    ("stream", "reason"),
    [
        (b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", "discovery answered with status 503"),
        (b"no HTTP at all\r\n\r\n", "HTTP"),
        (CHUNKED + chunk(b"{\n}\n"), "invalid endpoint list from discovery: KeyError"),
        (CHUNKED + chunk(b"[1]\n"), "invalid endpoint list from discovery: TypeError"),
        (CHUNKED + b"0\r\n\r\n", "discovery ended the watch"),
        (CHUNKED + chunk(b"[" * (MAX_LIST_BYTES + 1)), "endpoint list from discovery exceeds the size limit"),
    ],
)
def test_invalid_stream_raises_an_error(stream: bytes, reason: str) -> None:
    decoder = EndpointStreamDecoder(is_stream=True)
    with pytest.raises(DiscoveryError, match=reason):
        list(decoder.receive(stream))


def test_lists_before_an_error_are_yielded_before_it_is_raised() -> None:
    stream = CHUNKED + chunk(endpoint_list(3) + b"\nnothing\n" + endpoint_list(4) + b"\n")
    messages = EndpointStreamDecoder(is_stream=True).receive(stream)
    assert summary([next(messages), next(messages)]) == [ResponseStarted, 3]
    with pytest.raises(DiscoveryError, match="invalid endpoint list"):
        next(messages)
