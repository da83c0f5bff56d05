"""What commands print to standard output: tables for people, JSON for programs."""

import enum
import json
from collections.abc import Iterable, Sequence

import click
from tabulate import tabulate


class TableStyle(enum.StrEnum):
    """How a table is drawn; the values are tabulate's names."""

    PLAIN = "plain"
    SIMPLE = "simple"
    """A line of dashes below the headers."""


def print_table(
    rows: Iterable[Sequence[object]], headers: Sequence[str] = (), style: TableStyle = TableStyle.PLAIN
) -> None:
    """Print a table; numbers stand as `str` writes them."""
    click.echo(tabulate(list(rows), headers, tablefmt=style, disable_numparse=True))


def print_json(value: object) -> None:
    """Print `value` as one line of JSON."""
    click.echo(json.dumps(value))
