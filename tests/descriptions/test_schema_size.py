"""Discriminators and maximum sizes of messages, derived from their schemas."""

import pytest

from wheatstile.descriptions.parser import parse
from wheatstile.descriptions.references import DocumentNode, DocumentStore
from wheatstile.descriptions.schema_size import discriminator_of, max_json_bytes

URI = "file:///schema.yaml"


def schema_of(text: str) -> DocumentNode:
    """Return the root node of a schema in YAML."""
    return DocumentStore(lambda uri: parse(uri, text.encode())).root(URI)


@pytest.mark.parametrize(
    ("schema", "max_bytes"),
    [
        ("{}", None),
        ("true", None),
        ("{const: abc}", 20),
        ("{enum: [a, abc]}", 20),
        ("{enum: []}", 0),
        ("{type: boolean}", 5),
        ("{type: 'null'}", 5),
        ("{type: integer}", None),
        ("{type: integer, minimum: -100, maximum: 99}", 4),
        ("{type: string}", None),
        ("{type: string, maxLength: 3}", 20),
        ("{type: [string, boolean], maxLength: 3}", None),
        ("{type: array, items: {type: boolean}}", None),
        ("{type: array, maxItems: 3}", None),
        ("{type: array, maxItems: 3, items: {type: boolean}}", 20),
        ("{type: object, properties: {a: {type: boolean}}}", None),
        ("{type: object, additionalProperties: false, properties: {a: {type: boolean}}}", 17),
        ("{type: object, additionalProperties: false, properties: {a: {type: string}}}", None),
        ("{type: object, additionalProperties: false, properties: {a: {$ref: '#'}}}", None),
    ],
)
def test_maximum_size_is_derived_from_the_schema(schema: str, max_bytes: int | None) -> None:
    assert max_json_bytes(schema_of(schema)) == max_bytes


@pytest.mark.parametrize(
    ("schema", "discriminator"),
    [
        ("{}", ""),
        ("{discriminator: kind}", "kind"),
        ("{discriminator: {propertyName: kind}}", "kind"),
        ("{discriminator: 5}", ""),
    ],
)
def test_discriminator_is_the_property_that_the_schema_names(schema: str, discriminator: str) -> None:
    assert discriminator_of(schema_of(schema)) == discriminator


def test_missing_schema_has_no_discriminator_and_no_maximum_size() -> None:
    assert discriminator_of(None) == ""
    assert max_json_bytes(None) is None
