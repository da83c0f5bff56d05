"""Tests of the OPEN line: its syntax, and what is forwarded to a server."""

import pytest
from support.balancer import Balancer

from wheatstile.net.errors import ProtocolError
from wheatstile.net.open_request import OpenRequest


def test_open_line_is_forwarded_unchanged_except_for_the_timeout(balancer: Balancer) -> None:
    balancer.start()
    _client = balancer.send_open(7, 8765, ",r=1,x=1.50,again=1")
    line = balancer.server.accept_session()[1]
    before, _, rest = line.partition("d=")
    timeout_ms, _, after = rest.partition(",")
    assert before == "OPEN 0000000000000007 key7 c=web,"
    assert after == "g=abc,r=1,x=1.50,again=1"
    assert 0 < int(timeout_ms) <= 8765 // 2, line


def test_malformed_open_line_gets_one_error_and_is_not_forwarded(balancer: Balancer) -> None:
    balancer.start()
    valid = "OPEN 0000000000000001 k c=web,d=900,g=a"
    invalid = [
        "HELLO", valid + " ", valid + ",d=1", valid + ",again=2", valid + ",h=x",
        valid.replace("d=900", "d=-1"), valid.replace(",g=a", ""), valid.replace("web", "none"),
        valid.replace("0001", "001"), valid.replace(" k ", "  "), "open" + valid[4:], valid + "\0",
        valid + ",x=" + "y" * 5000, valid + "\r\nOPEN 0000000000000002 k c=web,d=900,g=a",
    ]  # fmt: skip
    for line in invalid:
        client = balancer.client()
        client.send(line)
        assert (client.line(), client.line()) == ("ERR", ""), line[:80]
    _client = balancer.send_open(9)
    assert "0000000000000009" in balancer.server.accept_session()[1]


def test_repeated_session_id_is_not_forwarded(balancer: Balancer) -> None:
    balancer.start()
    client, server = balancer.establish(5)
    repeat = balancer.send_open(5)
    assert (repeat.line(), repeat.line()) == ("ERR", "")
    client.send("still")
    assert server.line() == "still"


@pytest.mark.parametrize(
    ("fields", "forwarded"),
    [
        (b"d=900,c=web,g=a", b"d=1,c=web,g=a"),
        (b"c=web,d=900,g=a,x=d", b"c=web,d=1,g=a,x=d"),
        (b"c=web,g=a,add=7,d=900", b"c=web,g=a,add=7,d=1"),
    ],
)
def test_timeout_is_replaced_at_any_position(fields: bytes, forwarded: bytes) -> None:
    request = OpenRequest.parse(b"OPEN 0000000000000001 k " + fields + b"\r\n")
    assert request.timeout_ms == 900
    assert request.line_with_timeout(1) == b"OPEN 0000000000000001 k " + forwarded + b"\r\n"


@pytest.mark.parametrize(
    ("fields", "reason"),
    [
        (b"c=web,d=900", "a required field is missing"),
        (b"c=web,d=9x,g=a", "field d is not a timeout in milliseconds"),
        (b"c=web,d=900,g=a,h=x", "field h is not a valid load"),
        (b"c=web,d=900,g=a,g=b", "field g is repeated"),
        (b"c=web,d=900,g=a,r=0", "flag has a value other than 1"),
        (b"c=web,d=900,g=", "field is not NAME=VALUE"),
    ],
)
def test_error_names_the_reason(fields: bytes, reason: str) -> None:
    with pytest.raises(ProtocolError) as error:
        OpenRequest.parse(b"OPEN 0000000000000001 k " + fields + b"\r\n")
    assert error.value.reason == reason
