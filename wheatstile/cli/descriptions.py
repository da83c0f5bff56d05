"""`wheatstile descriptions`: checks, lists, matches, compares and draws API descriptions."""

from collections.abc import Callable, Iterable

import click
import msgspec

from wheatstile.cli.configuration import read_operator_file, read_platform_config
from wheatstile.cli.description_changes import description_changes
from wheatstile.cli.description_rows import RouteRow
from wheatstile.cli.description_sets import compile_for_command
from wheatstile.cli.exit_status import ExitStatus, reject
from wheatstile.cli.groups import ConfigurationGroup
from wheatstile.cli.options import json_option, platform_config_option
from wheatstile.cli.output import print_json, print_table
from wheatstile.descriptions.compile_types import ClassPolicy
from wheatstile.descriptions.findings import InvalidDescriptionError
from wheatstile.descriptions.keywords import IDEMPOTENCY_KEYWORDS, SCOPE_KEYWORDS
from wheatstile.descriptions.model import MESSAGE_ACTIONS, format_seconds
from wheatstile.descriptions.reader import Compilation
from wheatstile.interface import Idempotency

MIN_MATCH_ARGUMENTS = 3
LOOSENS_MARK = "loosens  "
NO_MARK = " " * len(LOOSENS_MARK)
ROUTE_COLUMNS = ("action", "route", "class", "repeat", "why", "place")
MATCH_COLUMNS = ("", "action", "route", "class", "repeat", "place")

_operator_file_option = click.option(
    "--file", "operator_file", metavar="OPERATOR_FILE", help="The operator's file, whose rules apply."
)
_paths_argument = click.argument("paths", nargs=-1, required=True)


def _configuration_options(function: Callable[..., ExitStatus]) -> Callable[..., ExitStatus]:
    """Add the options `--file` (the operator's file) and `--config` (the platform's configuration)."""
    return _operator_file_option(platform_config_option(function))


class DescriptionGroup(ConfigurationGroup):
    """Reports conflicts in descriptions for all its commands: reasons on standard error, exit status 1."""

    def invoke(self, ctx: click.Context) -> object:
        """Run the called command, and return its exit status."""
        try:
            return super().invoke(ctx)
        except InvalidDescriptionError as error:
            return reject(error.lines())


@click.group("descriptions", cls=DescriptionGroup)
def command() -> None:
    """Check, list, match, compare or draw OpenAPI and AsyncAPI descriptions."""


def _compile(paths: Iterable[str], operator_file: str | None, config: str | None) -> Compilation:
    return compile_for_command(paths, read_operator_file(operator_file), read_platform_config(config))


@command.command()
@_paths_argument
@_configuration_options
@click.option("--strict", is_flag=True, help="Treat warnings as conflicts.")
def check(paths: tuple[str, ...], operator_file: str | None, config: str | None, strict: bool) -> ExitStatus:
    """Check descriptions against their formats, each other, operator rules and platform classes."""
    parsed_operator_file = read_operator_file(operator_file)
    platform = read_platform_config(config)
    compilation = compile_for_command(paths, parsed_operator_file, platform, strict=strict)
    compiled = compilation.descriptions
    for warning in compiled.warnings:
        click.echo(str(warning), err=True)
    click.echo(
        f"valid: {len(compilation.description_set.descriptions)} descriptions, "
        f"{len(compiled.routes)} routes, {len(compiled.warnings)} warnings"
    )
    for name, policy in sorted(compiled.classes.items()):
        click.echo(f"class {name}: {_format_class(policy)}")
    if platform is None:
        click.echo(
            "not checked: consistency with the platform's classes, "
            "because neither --config nor RELAY_CONFIG is set"
        )
    return ExitStatus.OK


def _format_class(policy: ClassPolicy) -> str:
    idempotency = IDEMPOTENCY_KEYWORDS.keyword(policy.idempotency)
    if policy.idempotency is not Idempotency.IDEMPOTENCY_KEY:
        return idempotency
    window = format_seconds(policy.deduplication_window_us)
    scope = SCOPE_KEYWORDS.keyword(policy.deduplication_scope)
    return f"{idempotency}, deduplication window {window}, scope {scope}"


@command.command()
@_paths_argument
@_configuration_options
@click.option("--json", "as_json", is_flag=True, help="Print JSON, with messages and queue groups.")
def routes(
    paths: tuple[str, ...], operator_file: str | None, config: str | None, as_json: bool
) -> ExitStatus:
    """List every route with its class, whether it may be retried, and why."""
    compiled = _compile(paths, operator_file, config).descriptions
    ordered = sorted(compiled.routes, key=lambda route: (route.template, route.operation.action))
    rows = [RouteRow.from_route(route) for route in ordered]
    if as_json:
        print_json(msgspec.to_builtins(rows))
    else:
        print_table([row.cells(ROUTE_COLUMNS) for row in rows], ROUTE_COLUMNS)
    return ExitStatus.OK


@command.command()
@click.argument("arguments", nargs=-1, required=True, metavar="PATHS... ACTION TEXT")
@_configuration_options
def match(arguments: tuple[str, ...], operator_file: str | None, config: str | None) -> ExitStatus:
    """Show the route that matches ACTION TEXT (GET /orders/17, receive orders.17), and less specific ones."""
    if len(arguments) < MIN_MATCH_ARGUMENTS:
        raise click.UsageError("missing argument: PATHS, ACTION and TEXT (a path or subject) are required")
    *paths, action, text = arguments
    compiled = _compile(paths, operator_file, config).descriptions
    if action not in MESSAGE_ACTIONS:
        action = action.upper()  # HTTP methods may be given in lower case
    matching_routes = compiled.match(action, text)
    if not matching_routes:
        return reject([f"{action} {text}: no route matches"])
    rows = []
    for index, route in enumerate(matching_routes):
        rank = "takes" if index == 0 else "beats"
        rows.append([rank, *RouteRow.from_route(route).cells(MATCH_COLUMNS[1:])])
    print_table(rows, MATCH_COLUMNS)
    return ExitStatus.OK


@command.command()
@click.argument("old")
@click.argument("new")
@_configuration_options
@json_option
def diff(old: str, new: str, operator_file: str | None, config: str | None, as_json: bool) -> ExitStatus:
    """List the changes from OLD to NEW; exit status 3 if NEW allows more retries."""
    old_descriptions = _compile([old], operator_file, config).descriptions
    new_descriptions = _compile([new], operator_file, config).descriptions
    changes = list(description_changes(old_descriptions, new_descriptions))
    if as_json:
        print_json(msgspec.to_builtins(changes))
    else:
        for change in changes:
            mark = LOOSENS_MARK if change.loosens else NO_MARK
            click.echo(mark + change.change)
    loosened = any(change.loosens for change in changes)
    return ExitStatus.LOOSENED if loosened else ExitStatus.OK


@command.command()
@_paths_argument
@_configuration_options
@click.option("--out", required=True, metavar="FILE.svg")
def graph(paths: tuple[str, ...], operator_file: str | None, config: str | None, out: str) -> ExitStatus:
    """Draw a diagram of services, routes and classes as SVG."""
    from wheatstile.descriptions.graph import draw

    compilation = _compile(paths, operator_file, config)
    drawn_routes = compilation.descriptions.routes
    titles = {
        description.file: description.title or description.file
        for description in compilation.description_set.descriptions
    }
    try:
        draw(drawn_routes, titles).save_svg(out)
    except OSError as error:
        return reject([f"{out}: {error.strerror or error}"])
    click.echo(f"{out}: {len(drawn_routes)} routes")
    return ExitStatus.OK
