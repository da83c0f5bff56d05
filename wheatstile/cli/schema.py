"""`wheatstile schema`: prints the JSON Schema of the operator's file."""

import json

import click

from wheatstile.cli.exit_status import ExitStatus
from wheatstile.config.operator import schema


@click.command("schema")
def command() -> ExitStatus:
    """Print the JSON Schema of the operator's file."""
    click.echo(json.dumps(schema(), indent=2))
    return ExitStatus.OK
