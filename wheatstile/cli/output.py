"""Prints the output of commands: tables for people, JSON for programs."""

import enum
import json
from collections.abc import Iterable, Sequence

import click
from tabulate import tabulate


class TableStyle(enum.StrEnum):
    """The style of a table; the values are tabulate's names."""

    PLAIN = "plain"
    SIMPLE = "simple"  # has a line of dashes below the headers


def print_table(
    rows: Iterable[Sequence[object]], headers: Sequence[str] = (), style: TableStyle = TableStyle.PLAIN
) -> None:
    """Print a table. Numbers are formatted by `str`, not by tabulate."""
    click.echo(tabulate(list(rows), headers, tablefmt=style, disable_numparse=True))


def print_json(value: object) -> None:
    """Print `value` as one line of JSON."""
    click.echo(json.dumps(value))
