"""Tests for the parser of endpoint files: valid files, and rejections with a line and a reason."""

import contextlib
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st
from support.endpoint_files import RULES, JsonObject, endpoint_rows, sealed_document

from wheatstile import interface as api
from wheatstile.config.operator import Servers
from wheatstile.config.violations import ConfigurationError
from wheatstile.resolvers.canonical_json import digest_of
from wheatstile.resolvers.endpoint_file import EndpointFile, EndpointFileRules, parse_endpoint_file


def rejection(document: JsonObject | bytes, rules: EndpointFileRules = RULES) -> list[str]:
    """Return the lines of the error with which the document is rejected."""
    data = document if isinstance(document, bytes) else json.dumps(document, indent=1).encode()
    with pytest.raises(ConfigurationError) as error:
        parse_endpoint_file("f", data, rules)
    return error.value.lines()


def two_servers(**changes: object) -> JsonObject:
    """Return a document with two servers and these changes to the first one."""
    first = endpoint_rows("x")[0] | changes
    return {"servers": [first, *endpoint_rows("y", address="127.0.0.1:1")]}


REJECTED_DOCUMENTS: list[tuple[JsonObject | bytes, str]] = [
    ({"servers": endpoint_rows("x", "x")}, '/servers/1/id: "x" is already the id of /servers/0'),
    (
        {"servers": endpoint_rows("x", "y", address="127.0.0.1:1")},
        "/servers/1/address: 127.0.0.1:1 is already the address of /servers/0",
    ),
    (two_servers(address="localhost:9000"), "f:5: /servers/0/address: "),
    (two_servers(address="127.0.0.1"), "HOST:PORT"),
    (two_servers(address="127.0.0.01:1"), "HOST:PORT"),
    (two_servers(address="127.0.0.1:70000"), "port from 1"),
    (two_servers(address="[::1]:9000"), "IPv6"),
    (two_servers(address="10.0.0.10:9000"), "outside servers.networks"),
    (two_servers(weight=0), "0.0 is not a finite number over 0"),
    (two_servers(weight=-1), "over 0"),
    (two_servers(weight=float("nan")), "nan is not a finite"),
    (two_servers(weight=float("inf")), "inf is not a finite"),
    (two_servers(weight="1"), "/servers/0/weight: Expected `float`, got `str`"),
    (two_servers(weight=1001), "/servers/0/weight: 1001 is over 1000 times the smallest weight, 1"),
    (two_servers(weight=1e301), "/servers/0/weight: 1e+301 is over 1000 times the smallest weight, 1"),
    (
        {"servers": endpoint_rows("x", weight=10**20)},
        "f:7: /servers/0/weight: 100000000000000000000 is over 9007199254740991",
    ),
    (two_servers(started=1 << 53), "/servers/0/started: 9007199254740992 is over 9007199254740991"),
    (two_servers(weight=10**400), "/servers/0/weight: Number out of range"),
    (two_servers(weight=10**305, wieght=1), '/servers/0/wieght: unknown key, did you mean "weight"?'),
    (two_servers(wieght=1), '/servers/0/wieght: unknown key, did you mean "weight"?'),
    (two_servers(state="redy"), 'unknown value "redy", did you mean "ready"?'),
    (two_servers(started_at_us=-1), "/servers/0/started"),
    (two_servers(id=""), "/servers/0/id"),
    ({"servers": []}, "empty list"),
    ({"servers": endpoint_rows(*map(str, range(51)))}, "the file has 51 servers; the limit is 50"),
    ({"servers": endpoint_rows("x"), "generation": -1}, "/generation: "),
    ({"servers": endpoint_rows("x"), "seal": "md5:1"}, "/seal: "),
    ({"servers": endpoint_rows("x"), "seal": digest_of({})}, "/seal: does not match"),
    (
        {"servers": endpoint_rows("x"), "sites": ["a", "b"]},
        'f:11: /sites/1: site "b" would keep 0 ready servers',
    ),
    (
        {"servers": endpoint_rows("x", state=api.EndpointState.DRAINING), "sites": ["a"]},
        'site "a" would keep 0',
    ),
    ({}, "/servers: is missing"),
    (b"[]", "is not an object"),
    (b" " * 5001, "the file is larger than the limit of 5000 bytes"),
    (b'{"servers": 1, "servers": 2}', "duplicate key, first defined"),
]


@pytest.mark.parametrize(("document", "reason"), REJECTED_DOCUMENTS)
def test_invalid_file_is_rejected_with_location_and_reason(document: JsonObject | bytes, reason: str) -> None:
    lines = rejection(document)
    assert any(reason in line for line in lines), lines


def test_all_violations_of_all_servers_are_reported() -> None:
    servers = [*endpoint_rows("x", weight="1", address="y"), *endpoint_rows("x", state="z")]

    assert len(rejection({"servers": servers, "generation": "7"})) == 5


def test_rules_can_require_a_seal_and_exempt_a_site() -> None:
    document: JsonObject = {"servers": endpoint_rows("x"), "sites": ["a", "b"]}
    strict = EndpointFileRules.from_settings(Servers(require_seal=True, may_be_empty=["b"]))

    assert "/seal: is missing" in rejection(document, strict)[0]
    parsed = parse_endpoint_file("f", sealed_document(document), strict)
    assert parsed.sealed
    assert parsed.digest == digest_of(document)


def test_file_truncated_at_any_byte_is_rejected() -> None:
    document = {"servers": endpoint_rows("x", "y", weight=2.5), "sites": ["a"], "generation": 7}
    for data in (json.dumps(document, indent=1).encode(), sealed_document(document)):
        for length in range(len(data)):
            assert rejection(data[:length])


VALID_DOCUMENTS = st.lists(st.sampled_from("abcdefgh"), min_size=1, max_size=8, unique=True).map(
    lambda names: {"servers": endpoint_rows(*names, weight=len(names) / 2), "generation": len(names)}
)


@given(VALID_DOCUMENTS, VALID_DOCUMENTS, st.data())
def test_no_mixture_of_two_sealed_files_is_accepted(
    old: JsonObject, new: JsonObject, data: st.DataObject
) -> None:
    before = sealed_document(old)
    after = sealed_document(new)
    cut = data.draw(st.integers(0, max(len(before), len(after))))
    mixture = after[:cut] + before[cut:]

    with contextlib.suppress(ConfigurationError):
        assert parse_endpoint_file("f", mixture, RULES).digest in (digest_of(old), digest_of(new))


@given(VALID_DOCUMENTS, st.data())
def test_corrupt_file_is_parsed_or_raises_configuration_error(
    document: JsonObject, data: st.DataObject
) -> None:
    damaged = bytearray(sealed_document(document))
    for _ in range(data.draw(st.integers(1, 4))):
        start = data.draw(st.integers(0, len(damaged) - 1))
        end = start + data.draw(st.integers(0, 3))
        damaged[start:end] = data.draw(st.binary(max_size=3) | st.sampled_from([b"[", b"1e9", b"null"]))
    try:
        parsed = parse_endpoint_file("f", bytes(damaged), RULES)
    except ConfigurationError as error:
        assert all(line.startswith("f:") for line in error.lines())
    else:
        assert isinstance(parsed, EndpointFile)
        assert parsed.servers


def test_digest_does_not_depend_on_key_order_and_whitespace() -> None:
    document: JsonObject = {"generation": 3, "servers": endpoint_rows("x")}

    reordered = {key: document[key] for key in reversed(document)}
    data = json.dumps(reordered, indent=3).encode()

    assert parse_endpoint_file("f", data, RULES).digest == digest_of(document)
