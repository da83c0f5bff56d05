"""`schema`: the JSON Schema of the operator's file, made from its types."""

import json

import click

from wheatstile.config.operator import schema


@click.command("schema")
def command() -> int:
    """Write the JSON Schema of the operator's file to standard output."""
    click.echo(json.dumps(schema(), indent=2))
    return 0
