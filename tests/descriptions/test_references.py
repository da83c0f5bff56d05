"""References within and between documents."""

import pytest

from wheatstile.descriptions.findings import InvalidDescriptionError
from wheatstile.descriptions.parsed_file import ParsedFile
from wheatstile.descriptions.parser import parse
from wheatstile.descriptions.references import DocumentNode, DocumentStore, reference_findings

ROOT = "file:///root.yaml"
PART = "file:///part.yaml"


def document(root: str, part: str = "{}") -> DocumentNode:
    """Return the root node of a document that may refer to `part.yaml`."""
    texts = {ROOT: root, PART: part}

    def retrieve(uri: str) -> ParsedFile:
        if uri not in texts:
            raise ValueError("no such file")
        return parse(uri, texts[uri].encode())

    return DocumentStore(retrieve).root(ROOT)


def test_target_of_a_reference_to_another_file_has_the_location_in_that_file() -> None:
    node = document("a: {$ref: 'part.yaml#/b'}", "x: 1\nb: 2").get("a")
    assert node
    assert node.value == 2
    assert str(node.location) == f"{PART}:2: /b"


def test_unresolved_member_is_still_a_reference() -> None:
    node = document("a: {$ref: '#/b'}\nb: 2").get_unresolved("a")
    assert node
    assert node.reference == "#/b"
    assert node.resolved().value == 2


def test_name_is_the_unescaped_key() -> None:
    node = document("'/a~b': 1").get("/a~b")
    assert node
    assert node.pointer == "/~1a~0b"
    assert node.name == "/a~b"


@pytest.mark.parametrize(
    ("reference", "reason"),
    [
        ("#/missing", 'the target of "#/missing" does not exist'),
        ("#anchor", "refers to an anchor"),
        ("#/a", "leads to a reference cycle"),
        ("missing.yaml", "no such file"),
        ("https://example.com/x.yaml", "is a network address"),
    ],
)
def test_unresolvable_reference_is_reported_with_its_location(reference: str, reason: str) -> None:
    root = document(f"x: 1\na: {{$ref: '{reference}'}}")
    (finding,) = reference_findings(root)
    assert reason in finding.reason
    assert str(finding.location) == f"{ROOT}:2: /a"
    with pytest.raises(InvalidDescriptionError, match=reason):
        root.get("a")


@pytest.mark.parametrize("member", ["example", "default", "enum", "const"])
def test_reference_in_plain_data_is_ignored(member: str) -> None:
    assert reference_findings(document(f"{member}: {{a: {{$ref: '#/missing'}}}}")) == []


def test_cycle_through_members_is_allowed() -> None:
    assert reference_findings(document("a: {b: {$ref: '#/a'}}")) == []
