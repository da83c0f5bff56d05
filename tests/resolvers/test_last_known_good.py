"""Tests that copies stored by an older version can be read, and that the stored format is unchanged."""

from dataclasses import replace
from pathlib import Path

import msgspec
import pytest

from wheatstile import interface as api
from wheatstile.config.endpoints import ResolvedEndpoint
from wheatstile.config.networks import Networks
from wheatstile.config.operator import Servers
from wheatstile.resolvers import last_known_good
from wheatstile.resolvers.endpoint_file import EndpointFile, EndpointFileRules, parse_endpoint_file

FORMAT_1 = Path(__file__).parent / "format-1"
RULES = EndpointFileRules.from_settings(Servers(file="servers.json"))
SAVED_AT_MS = 1764600000000
SAVED = EndpointFile(
    servers={
        "a": ResolvedEndpoint(
            api.Endpoint("a", api.EndpointState.READY, "north", 0, 2.5, 1760000000123000), ("10.0.0.1", 9001)
        ),
        "b": ResolvedEndpoint(
            api.Endpoint("b", api.EndpointState.READY, "south", 0, 1.0, 0), ("10.0.0.2", 9002)
        ),
        "c": ResolvedEndpoint(
            api.Endpoint("c", api.EndpointState.DRAINING, "north", 0, 3.0, 0), ("10.0.0.3", 9003)
        ),
        'ü "d"': ResolvedEndpoint(
            api.Endpoint('ü "d"', api.EndpointState.READY, "", 0, 0.5, 0), ("10.0.0.4", 9004)
        ),
    },
    sites=("north", "south"),
    generation=7,
    digest="xxh3-128:43891a85144bdc2a728763829d494aac",
    sealed=False,
)


def test_file_of_format_1_is_restored() -> None:
    restored = last_known_good.restore(FORMAT_1, RULES)

    assert restored
    assert restored.accepted_at_ms == SAVED_AT_MS
    assert restored.endpoint_file == SAVED


def test_saved_file_is_byte_for_byte_equal_to_the_file_of_format_1(tmp_path: Path) -> None:
    last_known_good.save(tmp_path, SAVED, SAVED_AT_MS)

    written = (tmp_path / "servers-last-good.json").read_bytes()
    assert written == (FORMAT_1 / "servers-last-good.json").read_bytes()


def test_keys_of_format_1_are_unchanged() -> None:
    saved = msgspec.json.decode((FORMAT_1 / "servers-last-good.json").read_bytes())

    assert set(saved) == {"form", "taken_at_ms", "digest", "document", "seal"}
    assert set(saved["document"]) == {"servers", "sites", "generation"}
    for row in saved["document"]["servers"]:
        assert set(row) == {"id", "address", "site", "weight", "state", "started"}


@pytest.mark.parametrize("weight", ["", ',"weight":1e15', ',"weight":1e-5'])
def test_copy_of_the_largest_file_with_short_rows_is_restored(tmp_path: Path, weight: str) -> None:
    """Guards against a restart without servers because the stored copy is larger than its limit."""
    rows = [
        f'{{"id":"{number:x}","address":"10.0.{number >> 8}.{number & 255}:1"{weight}}}'
        for number in range(9999)
    ]
    document = f'{{"servers":[{",".join(rows)}]}}'.encode()
    rules = replace(RULES, max_bytes=len(document), max_servers=len(rows), networks=Networks(["10.0.0.0/8"]))
    accepted = parse_endpoint_file("servers.json", document, rules)
    last_known_good.save(tmp_path, accepted, SAVED_AT_MS)

    restored = last_known_good.restore(tmp_path, rules)

    assert restored
    assert restored.endpoint_file.servers == accepted.servers
