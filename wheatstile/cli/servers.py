"""`wheatstile servers`: checks, compares, seals, publishes, accepts and explains endpoint files."""

from pathlib import Path

import click
import msgspec

from wheatstile.cli.configuration import read_servers_section
from wheatstile.cli.endpoint_changes import format_values, server_changes
from wheatstile.cli.endpoint_explanation import EXPLANATION_COLUMNS, Explanation, read_discovery_answer
from wheatstile.cli.endpoint_files import (
    GENERATION_KEY,
    read_endpoint_file,
    read_without_seal,
    rejection_reasons,
    sealed_document,
    write_approval,
    write_file,
)
from wheatstile.cli.exit_status import ExitStatus, reject
from wheatstile.cli.groups import ConfigurationGroup
from wheatstile.cli.options import json_option
from wheatstile.cli.output import print_json, print_table
from wheatstile.resolvers.canonical_json import digest_of
from wheatstile.resolvers.endpoint_file import EndpointFileRules, parse_endpoint_file
from wheatstile.resolvers.update_guard import ActiveEndpoints

operator_file_option = click.option(
    "--file", "operator_file", metavar="OPERATOR_FILE", help="The operator's file (`servers` section)."
)


@click.group("servers", cls=ConfigurationGroup)
def command() -> None:
    """Check, compare, seal, publish, accept or explain endpoint files."""


def _rules(operator_file: str | None) -> EndpointFileRules:
    return EndpointFileRules.from_settings(read_servers_section(operator_file))


@command.command()
@click.argument("file")
@click.option(
    "--against", metavar="FILE", help="Also check the argument FILE as a replacement for this file."
)
@operator_file_option
def check(file: str, against: str | None, operator_file: str | None) -> ExitStatus:
    """Check FILE, an endpoint file."""
    rules = _rules(operator_file)
    endpoint_file = read_endpoint_file(file, rules)
    if against:
        active = ActiveEndpoints.from_file(read_endpoint_file(against, rules))
        if reasons := rejection_reasons(endpoint_file, active, rules):
            return reject(f"{file}:1: /: {reason} (against {against})" for reason in reasons)
    sealed = "sealed" if endpoint_file.sealed else "not sealed"
    ready = f"{len(endpoint_file.ready_names())} of {len(endpoint_file.servers)} servers ready"
    click.echo(f"{file}: valid; {ready}, {sealed}, {endpoint_file.digest}")
    if not against and endpoint_file.sites is None:
        click.echo("not checked: sites, because the file lists none and --against is not set")
    return ExitStatus.OK


@command.command()
@click.argument("old")
@click.argument("new")
@json_option
@operator_file_option
def diff(old: str, new: str, as_json: bool, operator_file: str | None) -> ExitStatus:
    """Print the differences between OLD and NEW."""
    rules = _rules(operator_file)
    old_file = read_endpoint_file(old, rules)
    new_file = read_endpoint_file(new, rules)
    changes = list(server_changes(old_file, new_file))
    if as_json:
        print_json(
            {
                "old": {"generation": old_file.generation, "digest": old_file.digest},
                "new": {"generation": new_file.generation, "digest": new_file.digest},
                "servers": msgspec.to_builtins(changes),
            }
        )
        return ExitStatus.OK
    rows = [
        [change.id, change.change, format_values(change.before), format_values(change.after)]
        for change in changes
    ]
    print_table(rows, ["server", "change", "before", "after"])
    click.echo(
        f"{len(changes)} of {len(old_file.servers.keys() | new_file.servers.keys())} servers; "
        f"generation {old_file.generation} -> {new_file.generation}"
    )
    return ExitStatus.OK


@command.command()
@click.argument("file")
@operator_file_option
def seal(file: str, operator_file: str | None) -> ExitStatus:
    """Seal FILE in place, so that a damaged copy can be detected."""
    rules = _rules(operator_file)
    value = read_without_seal(file, rules)
    data = sealed_document(value)
    parse_endpoint_file(file, data, rules)
    write_file(Path(file), data)
    click.echo(f"{file}: sealed, {digest_of(value)}")
    return ExitStatus.OK


@command.command()
@click.argument("new")
@click.argument("dest")
@click.option("--bump", is_flag=True, help="Set the generation to one more than that of DEST.")
@click.option(
    "--accept", "accepted", is_flag=True, help="Publish NEW even if it removes too many ready servers."
)
@operator_file_option
def publish(new: str, dest: str, bump: bool, accepted: bool, operator_file: str | None) -> ExitStatus:
    """Check NEW on its own and as a replacement for DEST, seal it, and replace DEST with it atomically."""
    rules = _rules(operator_file)
    value = read_without_seal(new, rules)
    destination = Path(dest)
    current = read_endpoint_file(dest, rules) if destination.exists() else None
    if bump:
        current_generation = current.generation if current else None
        value[GENERATION_KEY] = (current_generation or 0) + 1
    data = sealed_document(value)
    published = parse_endpoint_file(new, data, rules)
    if current:
        accepted_digests = frozenset([published.digest]) if accepted else frozenset()
        reasons = rejection_reasons(published, ActiveEndpoints.from_file(current), rules, accepted_digests)
        if reasons:
            return reject(f"{new}:1: /: {reason} (against {dest})" for reason in reasons)
    if accepted:
        write_approval(destination, published.digest)
    write_file(destination, data)
    click.echo(f"{dest}: published generation {published.generation}, {published.digest}")
    return ExitStatus.OK


@command.command()
@click.argument("file")
@operator_file_option
def accept(file: str, operator_file: str | None) -> ExitStatus:
    """Approve the current content of FILE even if it removes too many ready servers.

    Balancers that wait for this approval apply the content. The approval is valid for this content only.
    """
    endpoint_file = read_endpoint_file(file, _rules(operator_file))
    write_approval(Path(file), endpoint_file.digest)
    click.echo(f"{file}: generation {endpoint_file.generation}, {endpoint_file.digest} is accepted")
    return ExitStatus.OK


@command.command()
@click.argument("file")
@click.option(
    "--discovery",
    metavar="FILE",
    required=True,
    help="File with an answer from discovery, in its JSON format.",
)
@click.option("--silent-s", type=float, default=0.0, help="Seconds since discovery gave that answer.")
@operator_file_option
def explain(file: str, discovery: str, silent_s: float, operator_file: str | None) -> ExitStatus:
    """Print the endpoint list that a balancer would use, with the reason for each server's entry."""
    section = read_servers_section(operator_file)
    rules = EndpointFileRules.from_settings(section)
    endpoint_file = read_endpoint_file(file, rules)
    discovery_state = read_discovery_answer(discovery, rules.max_bytes)
    explanation = Explanation(endpoint_file, discovery_state, section, silent_s)
    click.echo(f"active source: {explanation.selection.source}; {explanation.selection.reason}")
    print_table(explanation.rows(), EXPLANATION_COLUMNS)
    return ExitStatus.OK
