"""`wheatstile serve`: runs the balancer, optionally with an operator's file."""

import click

from wheatstile import logs
from wheatstile.process import main as process

LOG_FORMATS = click.Choice([log_format.value for log_format in logs.LogFormat])
LOG_LEVELS = click.Choice([level.value for level in logs.LogLevel])


@click.command("serve")
@click.option(
    "--file", metavar="FILE", help=f"The operator's file (default: {process.OPERATOR_FILE_VARIABLE})."
)
@click.option("--log-format", type=LOG_FORMATS, help="Overrides the operator's file.")
@click.option("--log-level", type=LOG_LEVELS, help="Overrides the operator's file.")
def command(file: str | None, log_format: str | None, log_level: str | None) -> int:
    """Serve until SIGTERM, as configured by the RELAY_* variables and the operator's file."""
    return process.main(file, log_format, log_level)
