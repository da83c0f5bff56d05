"""The decoder of discovery's answers: bytes in, messages out, whatever the pieces that they come in."""

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
    member = {"id": 'a"}', "phase": "ready", "host_port": "127.0.0.1:80"}
    return json.dumps(
        {"revision": revision, "complete": complete, "members": [member]}, indent=indent
    ).encode()


def chunk(body: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(body), body)


def revisions(messages: list[Message]) -> list[int | type[Message]]:
    return [one.revision if isinstance(one, EndpointSnapshot) else type(one) for one in messages]


@pytest.mark.parametrize("piece_bytes", [1, 2, 7, 100, 100_000])
def test_a_stream_is_the_same_in_whatever_pieces_it_comes(piece_bytes: int) -> None:
    bodies = [endpoint_list(1, complete=True), b"\n", b"\n", endpoint_list(2, indent=1) + b"\n"]
    stream = CHUNKED + b"".join(chunk(body) for body in bodies)
    decoder = EndpointStreamDecoder(is_stream=True)
    messages: list[Message] = []
    for start in range(0, len(stream), piece_bytes):
        messages += decoder.receive(stream[start : start + piece_bytes])
    assert revisions(messages) == [ResponseStarted, 1, Keepalive, 2]
    assert not decoder.is_complete


def test_a_call_for_the_complete_list_is_answered_by_the_whole_body() -> None:
    body = endpoint_list(7, complete=True, indent=2)
    decoder = EndpointStreamDecoder(is_stream=False)
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
    assert revisions(list(decoder.receive(head + body[:50]))) == [ResponseStarted]
    assert not decoder.is_complete
    assert revisions(list(decoder.receive(body[50:]))) == [7]
    assert decoder.is_complete


@pytest.mark.parametrize(
    ("stream", "reason"),
    [
        (b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", "discovery answered 503"),
        (b"no HTTP at all\r\n\r\n", "HTTP"),
        (CHUNKED + chunk(b"{\n}\n"), "discovery sent no list: KeyError"),
        (CHUNKED + chunk(b"[1]\n"), "discovery sent no list: TypeError"),
        (CHUNKED + b"0\r\n\r\n", "discovery ended the watch"),
        (CHUNKED + chunk(b"[" * (MAX_LIST_BYTES + 1)), "discovery sent a list without an end"),
    ],
)
def test_what_is_no_stream_of_lists_is_an_error(stream: bytes, reason: str) -> None:
    decoder = EndpointStreamDecoder(is_stream=True)
    with pytest.raises(DiscoveryError, match=reason):
        list(decoder.receive(stream))


def test_the_lists_before_an_error_are_yielded_before_it_is_raised() -> None:
    stream = CHUNKED + chunk(endpoint_list(3) + b"\nnothing\n" + endpoint_list(4) + b"\n")
    messages = EndpointStreamDecoder(is_stream=True).receive(stream)
    assert revisions([next(messages), next(messages)]) == [ResponseStarted, 3]
    with pytest.raises(DiscoveryError, match="no list"):
        next(messages)
