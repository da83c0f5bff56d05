"""What the commands share: refusals, and the rules that a file of servers is held against."""

import sys
from collections.abc import Iterable

import click

from wheatstile.config import operator
from wheatstile.config.operator import Servers

REFUSED = 1  # exit status

operator_option = click.option(
    "--file", "operator_file", metavar="OPERATOR_FILE", help="The operator's file, for its `servers` section."
)


def refuse(lines: Iterable[str]) -> int:
    """Tell the reasons on standard error; the exit status."""
    print("\n".join(lines), file=sys.stderr)
    return REFUSED


def servers_section(path: str | None) -> Servers:
    """The section of the operator's file, or its defaults without one. Raises ConfigurationError."""
    return operator.read(path).settings.servers if path else Servers()
