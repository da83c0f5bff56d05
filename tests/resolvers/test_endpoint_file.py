"""Files of servers as bytes: what is a whole document, and what is refused, with its place."""

import contextlib
import json
from typing import Any

import pytest
import rfc8785
from hypothesis import given
from hypothesis import strategies as st

from wheatstile import interface as api
from wheatstile.config.operator import Servers
from wheatstile.config.violations import ConfigurationError
from wheatstile.resolvers.endpoint_file import (
    EndpointFile,
    EndpointFileRules,
    canonical,
    digest_of,
    parse_endpoint_file,
)

RULES = EndpointFileRules.of(Servers(networks=["127.0.0.0/8", "10.0.0.1-10.0.0.9"], most=50, most_bytes=5000))


def rows(*names: str, **changes: Any) -> list[dict[str, Any]]:
    return [
        {"id": name, "address": f"127.0.0.1:{9000 + index}", "site": "a"} | changes
        for index, name in enumerate(names)
    ]


def sealed(value: dict[str, Any]) -> bytes:
    return json.dumps(value | {"seal": digest_of(value)}).encode()


def refused(value: Any, rules: EndpointFileRules = RULES) -> list[str]:
    data = value if isinstance(value, bytes) else json.dumps(value, indent=1).encode()
    with pytest.raises(ConfigurationError) as error:
        parse_endpoint_file("f", data, rules)
    return error.value.lines()


def one(**changes: Any) -> dict[str, Any]:
    return {"servers": [rows("x")[0] | changes, *rows("y", address="127.0.0.1:1")]}


TABLE: list[tuple[Any, str]] = [
    ({"servers": rows("x", "x")}, '/servers/1/id: "x" is the id of /servers/0 too'),
    (
        {"servers": rows("x", "y", address="127.0.0.1:1")},
        "/servers/1/address: 127.0.0.1:1 is the address of /servers/0",
    ),
    (one(address="localhost:9000"), "f:5: /servers/0/address: "),
    (one(address="127.0.0.1"), "HOST:PORT"),
    (one(address="127.0.0.01:1"), "HOST:PORT"),
    (one(address="127.0.0.1:70000"), "port from 1"),
    (one(address="[::1]:9000"), "IPv6"),
    (one(address="10.0.0.10:9000"), "outside servers.networks"),
    (one(weight=0), "0.0 is no finite number over 0"),
    (one(weight=-1), "over 0"),
    (one(weight=float("nan")), "nan is no finite"),
    (one(weight=float("inf")), "inf is no finite"),
    (one(weight="1"), "/servers/0/weight: Expected `float`, got `str`"),
    (one(weight=1001), "/servers/0/weight: 1001 is over 1000 times the least, 1"),
    (one(wieght=1), '/servers/0/wieght: unknown key, did you mean "weight"?'),
    (one(state="redy"), '"redy" is not known, did you mean "ready"?'),
    (one(started_at_us=-1), "/servers/0/started"),
    (one(id=""), "/servers/0/id"),
    ({"servers": []}, "empty list"),
    ({"servers": rows(*map(str, range(51)))}, "51 servers; 50 at most"),
    ({"servers": rows("x"), "generation": -1}, "/generation: "),
    ({"servers": rows("x"), "seal": "md5:1"}, "/seal: "),
    ({"servers": rows("x"), "seal": digest_of({})}, "/seal: does not fit"),
    ({"servers": rows("x"), "sites": ["a", "b"]}, 'f:11: /sites/1: site "b" would keep 0 ready servers'),
    ({"servers": rows("x", state=api.EndpointState.DRAINING), "sites": ["a"]}, 'site "a" would keep 0'),
    ({}, "/servers: is missing"),
    (b"[]", "is no object"),
    (b" " * 5001, "5001 bytes; 5000 at most"),
    (b'{"servers": 1, "servers": 2}', "stands twice"),
]


@pytest.mark.parametrize(("value", "told"), TABLE)
def test_a_faulty_file_is_refused_with_place_and_reason(value: Any, told: str) -> None:
    assert any(told in line for line in refused(value)), refused(value)


def test_all_faults_of_all_servers_are_told() -> None:
    value = {"servers": [*rows("x", weight="1", address="y"), *rows("x", state="z")], "generation": "7"}
    assert len(refused(value)) == 5


def test_a_seal_can_be_demanded_and_a_site_excepted() -> None:
    value = {"servers": rows("x"), "sites": ["a", "b"]}
    strict = EndpointFileRules.of(Servers(require_seal=True, may_be_empty=["b"]))
    assert "/seal: is missing" in refused(value, strict)[0]
    found = parse_endpoint_file("f", sealed(value), strict)
    assert found.sealed and found.digest == digest_of(value)


def test_a_file_cut_off_at_any_byte_is_refused() -> None:
    value = {"servers": rows("x", "y", weight=2.5), "sites": ["a"], "generation": 7}
    for data in (json.dumps(value, indent=1).encode(), sealed(value)):
        for length in range(len(data)):
            refused(data[:length])


GOOD = st.lists(st.sampled_from("abcdefgh"), min_size=1, max_size=8, unique=True).map(
    lambda names: {"servers": rows(*names, weight=len(names) / 2), "generation": len(names)}
)


@given(GOOD, GOOD, st.data())
def test_no_mixture_of_two_sealed_files_is_taken(
    old: dict[str, Any], new: dict[str, Any], data: st.DataObject
) -> None:
    before, after = sealed(old), sealed(new)
    cut = data.draw(st.integers(0, max(len(before), len(after))))
    mixed = after[:cut] + before[cut:]
    with contextlib.suppress(ConfigurationError):
        assert parse_endpoint_file("f", mixed, RULES).digest in (digest_of(old), digest_of(new))


@given(GOOD, st.data())
def test_no_bytes_bring_any_other_error(value: dict[str, Any], data: st.DataObject) -> None:
    text = bytearray(sealed(value))
    for _ in range(data.draw(st.integers(1, 4))):
        at = data.draw(st.integers(0, len(text) - 1))
        text[at : at + data.draw(st.integers(0, 3))] = data.draw(
            st.binary(max_size=3) | st.sampled_from([b"[", b"1e9", b"null"])
        )
    try:
        found = parse_endpoint_file("f", bytes(text), RULES)
    except ConfigurationError as error:
        assert all(line.startswith("f:") for line in error.lines())
    else:
        assert isinstance(found, EndpointFile) and found.servers


def test_the_digest_does_not_depend_on_how_the_file_is_written() -> None:
    value = {"generation": 3, "servers": rows("x")}
    turned = {key: value[key] for key in reversed(value)}
    assert parse_endpoint_file("f", json.dumps(turned, indent=3).encode(), RULES).digest == digest_of(value)


TEXT = st.text(st.characters(exclude_categories=["Cs"]), max_size=4)
NUMBER = st.integers(1 - (1 << 53), (1 << 53) - 1) | st.floats(allow_nan=False, allow_infinity=False)
JSON = st.recursive(
    st.none() | st.booleans() | NUMBER | TEXT,
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(TEXT, inner, max_size=4),
    max_leaves=20,
)


@given(JSON)
def test_the_faster_canonical_form_is_that_of_the_rfc(value: Any) -> None:
    assert canonical(value) == rfc8785.dumps(value)
    assert canonical([value, {"a": 0.001, "b": 2.5, "c": 999999.25, "d": -1, "e": 1.0}]) == rfc8785.dumps(
        [value, {"a": 0.001, "b": 2.5, "c": 999999.25, "d": -1, "e": 1.0}]
    )


@given(st.dictionaries(st.text("abz~é", max_size=3), st.floats(0, 1e7) | st.text('ab"\\/\x7f é', max_size=3)))
def test_the_faster_canonical_form_of_rows_is_that_of_the_rfc(row: dict[str, Any]) -> None:
    assert canonical([row]) == rfc8785.dumps([row])
