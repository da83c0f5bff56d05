"""`wheatstile descriptions`: OpenAPI and AsyncAPI descriptions, checked, listed, matched, compared, drawn."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

import click
import msgspec

from wheatstile.cli.configuration import read_operator_file, read_platform_config
from wheatstile.cli.description_changes import description_changes, seconds_text
from wheatstile.cli.description_rows import RouteRow
from wheatstile.cli.description_sets import compile_descriptions
from wheatstile.cli.exit_status import ExitStatus, reject
from wheatstile.cli.groups import ConfigurationGroup
from wheatstile.cli.options import json_option, platform_config_option
from wheatstile.cli.output import print_json, print_table
from wheatstile.descriptions.compile_types import ClassPolicy, CompiledDescriptions
from wheatstile.descriptions.findings import InvalidDescriptionError
from wheatstile.descriptions.model import MessageAction
from wheatstile.descriptions.reader import DescriptionSet
from wheatstile.interface import Idempotency

MIN_MATCH_ARGUMENTS = 3
ROUTE_COLUMNS = ("action", "route", "class", "repeat", "why", "place")
MATCH_COLUMNS = ("", "action", "route", "class", "repeat", "place")

_operator_file_option = click.option(
    "--file", "operator_file", metavar="OPERATOR_FILE", help="The operator's file, for its rules."
)
_paths_argument = click.argument("paths", nargs=-1, required=True)


def _context_options(function: Callable[..., ExitStatus]) -> Callable[..., ExitStatus]:
    """Add `--file` and `--config`: what descriptions are held against."""
    return _operator_file_option(platform_config_option(function))


class DescriptionGroup(ConfigurationGroup):
    """Reports conflicts in descriptions as well: exit status 1, every conflict on standard error."""

    def invoke(self, ctx: click.Context) -> object:
        """Run the command that was named; its exit status."""
        try:
            return super().invoke(ctx)
        except InvalidDescriptionError as error:
            return reject(error.lines())


@click.group("descriptions", cls=DescriptionGroup)
def command() -> None:
    """OpenAPI and AsyncAPI descriptions: check, routes, match, diff, graph."""


@dataclass(frozen=True, slots=True)
class CompilationResult:
    """Compiled descriptions, the descriptions as read, and whether the platform's classes were known."""

    compiled: CompiledDescriptions
    source: DescriptionSet
    classes_known: bool


def _compile(
    paths: Iterable[str], operator_file: str | None, config: str | None, *, strict: bool = False
) -> CompilationResult:
    rules = read_operator_file(operator_file)
    platform = read_platform_config(config)
    compiled, source = compile_descriptions(paths, rules, platform, strict=strict)
    return CompilationResult(compiled, source, platform is not None)


@command.command()
@_paths_argument
@_context_options
@click.option("--strict", is_flag=True, help="Warnings are conflicts.")
def check(paths: tuple[str, ...], operator_file: str | None, config: str | None, strict: bool) -> ExitStatus:
    """Check descriptions against their formats, each other, the operator's rules and the classes."""
    found = _compile(paths, operator_file, config, strict=strict)
    compiled = found.compiled
    for warning in compiled.warnings:
        click.echo(str(warning), err=True)
    click.echo(
        f"holds: {len(found.source.descriptions)} descriptions, {len(compiled.routes)} routes, "
        f"{len(compiled.warnings)} warnings"
    )
    for name, policy in sorted(compiled.classes.items()):
        click.echo(f"class {name}: {_class_text(policy)}")
    if not found.classes_known:
        click.echo(
            "not checked: against the platform's classes: neither --config nor RELAY_CONFIG names them"
        )
    return ExitStatus.OK


def _class_text(policy: ClassPolicy) -> str:
    if policy.idempotency is not Idempotency.IDEMPOTENCY_KEY:
        return policy.idempotency
    window = seconds_text(policy.deduplication_window_us)
    return f"{policy.idempotency}, known for {window}, scope {policy.deduplication_scope}"


@command.command()
@_paths_argument
@_context_options
@click.option("--json", "as_json", is_flag=True, help="For programs, with messages and queue groups.")
def routes(
    paths: tuple[str, ...], operator_file: str | None, config: str | None, as_json: bool
) -> ExitStatus:
    """List every route with its class and whether it may be repeated, and why."""
    compiled = _compile(paths, operator_file, config).compiled
    ordered = sorted(compiled.routes, key=lambda route: (route.template, route.operation.action))
    rows = [RouteRow.from_route(route) for route in ordered]
    if as_json:
        print_json(msgspec.to_builtins(rows))
    else:
        print_table([row.cells(ROUTE_COLUMNS) for row in rows], ROUTE_COLUMNS)
    return ExitStatus.OK


@command.command()
@click.argument("arguments", nargs=-1, required=True, metavar="PATHS... ACTION TEXT")
@_context_options
def match(arguments: tuple[str, ...], operator_file: str | None, config: str | None) -> ExitStatus:
    """Tell which route ACTION TEXT takes (GET /orders/17, receive orders.17), and those it beat."""
    if len(arguments) < MIN_MATCH_ARGUMENTS:
        raise click.UsageError("paths, an action and a path or subject are needed")
    *paths, action, text = arguments
    compiled = _compile(paths, operator_file, config).compiled
    if action not in set(MessageAction):
        action = action.upper()  # a method of HTTP
    found = compiled.match(action, text)
    if not found:
        return reject([f"{action} {text}: no route matches"])
    rows = []
    for index, route in enumerate(found):
        rank = "takes" if index == 0 else "beats"
        rows.append([rank, *RouteRow.from_route(route).cells(MATCH_COLUMNS[1:])])
    print_table(rows, MATCH_COLUMNS)
    return ExitStatus.OK


@command.command()
@click.argument("old")
@click.argument("new")
@_context_options
@json_option
def diff(old: str, new: str, operator_file: str | None, config: str | None, as_json: bool) -> ExitStatus:
    """Tell what NEW changes of OLD; exit status 3 if anything that could not be repeated may be now."""
    first = _compile([old], operator_file, config).compiled
    second = _compile([new], operator_file, config).compiled
    changes = list(description_changes(first, second))
    if as_json:
        print_json(msgspec.to_builtins(changes))
    else:
        for change in changes:
            click.echo(f"{'loosens  ' if change.loosens else '         '}{change.change}")
    loosened = any(change.loosens for change in changes)
    return ExitStatus.LOOSENED if loosened else ExitStatus.OK


@command.command()
@_paths_argument
@_context_options
@click.option("--out", required=True, metavar="FILE.svg")
def graph(paths: tuple[str, ...], operator_file: str | None, config: str | None, out: str) -> ExitStatus:
    """Draw services, routes and classes as a picture."""
    from wheatstile.descriptions.graph import draw

    found = _compile(paths, operator_file, config)
    titles = {one.file: one.title or one.file for one in found.source.descriptions}
    try:
        draw(found.compiled.routes, titles).save_svg(out)
    except OSError as error:
        return reject([f"{out}: {error.strerror or error}"])
    click.echo(f"{out}: {len(found.compiled.routes)} routes")
    return ExitStatus.OK
