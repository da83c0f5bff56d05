"""Files that are meant to hurt: a clear error each, within bounds; and any bytes at all."""

import os
from pathlib import Path

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from wheatstile.descriptions import text
from wheatstile.descriptions.model import DescriptionError
from wheatstile.descriptions.reader import read

BOMB = "a: &a [x, x, x, x, x, x, x, x, x, x]\n" + "".join(
    f"{new}: &{new} [{', '.join(['*' + old] * 10)}]\n"
    for old, new in zip("abcdefgh", "bcdefghi", strict=True)
)


@pytest.mark.parametrize(
    ("name", "data", "told"),
    [
        ("a.yaml", b"openapi: 3.1.0\nx: \0", "a.yaml:2: /: a NUL byte"),
        ("a.yaml", b"openapi: \xff", "no UTF-8"),
        ("a.yaml", b"a: [1, 2", "a.yaml:2: /: no YAML"),
        ("a.yaml", BOMB.encode(), "aliases counted each time"),
        ("a.yaml", b"a: &a [*a]", "the alias *a stands for nothing, or for itself"),
        ("a.yaml", b"[" * 10_000, "exceeded maximum nesting depth"),
        ("a.yaml", b"- " * 300 + b"a", "nested deeper than 200"),
        ("a.json", b"[" * 100_000, "nested too deeply"),
        ("a.json", b"[" * 300 + b"]" * 300, "nested deeper than 200"),
        ("a.json", b'{"a": "' + b'\\"' * 200_000, "no JSON"),
        ("a.yaml", b"a: !!python/object:os.system x", "the tag tag:yaml.org,2002:python/object:os.system"),
        ("a.yaml", b"b: &b {}\na: {<<: *b}", "a merge key"),
        ("a.yaml", b"? [a]\n: b", "a key that is no text"),
        ("a.yaml", b"a: 1\n---\nb: 2", "more than one document"),
        ("a.yaml", b"#" * (text.MOST_BYTES + 1), "at most"),
        ("a.yaml", b"", "is no description"),
    ],
)
def test_a_file_that_is_meant_to_hurt_is_refused(tmp_path: Path, name: str, data: bytes, told: str) -> None:
    (tmp_path / name).write_bytes(data)
    with pytest.raises(DescriptionError, match=None) as error:
        read([tmp_path / name])
    assert told in " ".join(error.value.lines())


def test_what_is_no_file_is_refused(tmp_path: Path) -> None:
    os.mkfifo(tmp_path / "a.yaml")
    for path, told in ((tmp_path / "a.yaml", "a FIFO"), (tmp_path / "b.yaml", "No such file")):
        with pytest.raises(DescriptionError, match=told):
            read([path])
    (tmp_path / "in").mkdir()
    with pytest.raises(DescriptionError, match="no file ends in"):
        read([tmp_path / "in"])
    (tmp_path / "in" / "a.yaml").symlink_to("/etc/hostname")
    with pytest.raises(DescriptionError, match="leaves the folder"):
        read([tmp_path / "in"])


START = b"openapi: 3.1.0\ninfo: {title: t, version: '1'}\npaths: {/a: {get: {$ref: '#/x'}}}\n"


@settings(max_examples=150, deadline=None, suppress_health_check=[HealthCheck.function_scoped_fixture])
@given(
    st.binary(max_size=60) | st.binary(max_size=8).map(lambda data: START + data),
    st.sampled_from([".yaml", ".json"]),
)
def test_no_bytes_bring_any_other_error(tmp_path: Path, data: bytes, ending: str) -> None:
    (tmp_path / f"a{ending}").write_bytes(data)
    try:
        read([tmp_path / f"a{ending}"])
    except DescriptionError as error:
        assert error.lines()
