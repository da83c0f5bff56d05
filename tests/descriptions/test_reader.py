"""Malicious and malformed files. Each is rejected with a reason."""

import os
from pathlib import Path

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from wheatstile.descriptions.findings import InvalidDescriptionError
from wheatstile.descriptions.parsed_file import MAX_FILE_BYTES
from wheatstile.descriptions.reader import read_descriptions

ALIAS_BOMB = "a: &a [x, x, x, x, x, x, x, x, x, x]\n" + "".join(
    f"{new}: &{new} [{', '.join(['*' + old] * 10)}]\n"
    for old, new in zip("abcdefgh", "bcdefghi", strict=True)
)


@pytest.mark.parametrize(
    ("name", "data", "reason"),
    [
        ("a.yaml", b"openapi: 3.1.0\nx: \0", "a.yaml:2: /: contains a NUL byte"),
        ("a.yaml", b"openapi: \xff", "not valid UTF-8"),
        ("a.yaml", b"a: [1, 2", "a.yaml:2: /: not valid YAML"),
        ("a.yaml", ALIAS_BOMB.encode(), "values with aliases expanded"),
        ("a.yaml", b"a: &a [*a]", "the alias *a refers to an undefined anchor or to itself"),
        ("a.yaml", b"[" * 10_000, "exceeded maximum nesting depth"),
        ("a.yaml", b"- " * 300 + b"a", "nested deeper than 200 levels"),
        ("a.json", b"[" * 100_000, "nested too deeply"),
        ("a.json", b"[" * 300 + b"]" * 300, "nested deeper than 200 levels"),
        ("a.json", b'{"a": "' + b'\\"' * 200_000, "not valid JSON"),
        (
            "a.yaml",
            b"a: !!python/object:os.system x",
            "the tag tag:yaml.org,2002:python/object:os.system is not allowed",
        ),
        ("a.yaml", b"b: &b {}\na: {<<: *b}", "merge keys"),
        ("a.yaml", b"? [a]\n: b", "a mapping key is not a string"),
        ("a.yaml", b"a: 1\n---\nb: 2", "more than one document"),
        ("a.yaml", b"#" * (MAX_FILE_BYTES + 1), "the file is larger than the limit of"),
        ("a.yaml", b"", "is not a description"),
    ],
)
def test_malicious_file_is_rejected(tmp_path: Path, name: str, data: bytes, reason: str) -> None:
    (tmp_path / name).write_bytes(data)
    with pytest.raises(InvalidDescriptionError) as error:
        read_descriptions([tmp_path / name])
    assert reason in " ".join(error.value.lines())


def test_fifo_is_rejected(tmp_path: Path) -> None:
    os.mkfifo(tmp_path / "a.yaml")
    with pytest.raises(InvalidDescriptionError, match="a FIFO"):
        read_descriptions([tmp_path / "a.yaml"])


def test_missing_file_is_rejected(tmp_path: Path) -> None:
    with pytest.raises(InvalidDescriptionError, match="No such file"):
        read_descriptions([tmp_path / "a.yaml"])


def test_directory_without_descriptions_is_rejected(tmp_path: Path) -> None:
    with pytest.raises(InvalidDescriptionError, match="contains no file with a suffix of"):
        read_descriptions([tmp_path])


def test_symbolic_link_to_a_file_outside_the_directory_is_rejected(tmp_path: Path) -> None:
    (tmp_path / "a.yaml").symlink_to("/etc/hostname")
    with pytest.raises(InvalidDescriptionError, match="is a link to a file outside the directory"):
        read_descriptions([tmp_path])


VALID_START = b"openapi: 3.1.0\ninfo: {title: t, version: '1'}\npaths: {/a: {get: {$ref: '#/x'}}}\n"


@settings(max_examples=150, deadline=None, suppress_health_check=[HealthCheck.function_scoped_fixture])
@given(
    st.binary(max_size=60) | st.binary(max_size=8).map(lambda data: VALID_START + data),
    st.sampled_from([".yaml", ".json"]),
)
def test_arbitrary_content_raises_only_invalid_description_errors(
    tmp_path: Path, data: bytes, ending: str
) -> None:
    (tmp_path / f"a{ending}").write_bytes(data)
    try:
        read_descriptions([tmp_path / f"a{ending}"])
    except InvalidDescriptionError as error:
        assert error.lines()
