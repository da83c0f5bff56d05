"""`serve`: the balancer, with the operator's file where one is named."""

import click

from wheatstile import logs
from wheatstile.process import main as process


@click.command("serve")
@click.option("--file", metavar="FILE", help=f"The operator's file (else {process.OPERATOR_FILE} names one).")
@click.option("--log-format", type=click.Choice(logs.FORMATS), help="Goes before the file's.")
@click.option("--log-level", type=click.Choice(logs.LEVELS), help="Goes before the file's.")
def command(file: str | None, log_format: str | None, log_level: str | None) -> int:
    """Serve until SIGTERM, from RELAY_* and the operator's file."""
    return process.main(file, log_format, log_level)
