"""`descriptions`: OpenAPI and AsyncAPI descriptions, checked, listed, matched, compared, drawn."""

import json
import os
from collections.abc import Iterator
from typing import Any

import click
from tabulate import tabulate

from wheatstile.cli.common import refuse
from wheatstile.config import operator
from wheatstile.config.platform import Config, ConfigError
from wheatstile.config.violations import ConfigurationError
from wheatstile.descriptions import reader
from wheatstile.descriptions.compile_types import CompiledDescriptions, Route
from wheatstile.descriptions.findings import InvalidDescriptionError
from wheatstile.descriptions.model import SCOPE_NARROWNESS, is_stricter
from wheatstile.descriptions.worker_protocol import class_settings
from wheatstile.interface import Idempotency

LOOSENS = 3  # exit status of a comparison

_file = click.option(
    "--file", "operator_file", metavar="OPERATOR_FILE", help="The operator's file, for its rules."
)
_config = click.option(
    "--config", metavar="FILE", help="The platform's configuration (else RELAY_CONFIG names it)."
)
_paths = click.argument("paths", nargs=-1, required=True)


class _Commands(click.Group):
    def invoke(self, context: click.Context) -> Any:
        try:
            return super().invoke(context)
        except InvalidDescriptionError as error:
            return refuse(error.lines())
        except ConfigurationError as refused:
            return refuse(refused.lines())
        except ConfigError as error:
            return refuse([str(error)])


@click.group("descriptions", cls=_Commands)
def command() -> None:
    """OpenAPI and AsyncAPI descriptions: check, routes, match, diff, graph."""


def _compiled(
    paths: tuple[str, ...], operator_file: str | None = None, config: str | None = None, strict: bool = False
) -> tuple[CompiledDescriptions, reader.DescriptionSet, bool]:
    """What the descriptions come to, and whether the platform's classes are known."""
    config = config or os.environ.get("RELAY_CONFIG")
    found = operator.read(operator_file) if operator_file else None
    platform = Config.read({**os.environ, "RELAY_CONFIG": config}) if config else None
    classes = reader.class_policies(class_settings(platform)) if platform else None
    attempts = platform.settings.max_attempts if platform else 5
    compiled, reading = reader.compile_paths(paths, found, classes, attempts, strict)
    return compiled, reading, platform is not None


@command.command()
@_paths
@_file
@_config
@click.option("--strict", is_flag=True, help="Warnings are conflicts.")
def check(paths: tuple[str, ...], operator_file: str | None, config: str | None, strict: bool) -> int:
    """Check descriptions against their formats, each other, the operator's rules and the classes."""
    compiled, reading, known = _compiled(paths, operator_file, config, strict)
    for warning in compiled.warnings:
        click.echo(str(warning), err=True)
    count = len(reading.descriptions)
    click.echo(
        f"holds: {count} descriptions, {len(compiled.routes)} routes, {len(compiled.warnings)} warnings"
    )
    for name, policy in sorted(compiled.classes.items()):
        more = ""
        if policy.idempotency is Idempotency.IDEMPOTENCY_KEY:
            window_s = policy.deduplication_window_us / 1e6
            more = f", known for {window_s:g} s, scope {policy.deduplication_scope}"
        click.echo(f"class {name}: {policy.idempotency}{more}")
    if not known:
        click.echo(
            "not checked: against the platform's classes: neither --config nor RELAY_CONFIG names them"
        )
    return 0


def _row(route: Route) -> dict[str, Any]:
    operation = route.operation
    return {
        "action": operation.action,
        "route": route.template,
        "class": route.service_class,
        "repeat": route.retry_safety.idempotency.value,
        "why": f"{route.retry_safety.reason} ({route.retry_safety.location.short()})",
        "place": operation.location.short(),
        "operation": operation.id,
        "description": operation.location.file,
        "queue": operation.queue_group,
        "reply": operation.reply,
        "messages": [
            {"name": one.name, "discriminator": one.discriminator, "most_bytes": one.max_bytes}
            for one in operation.messages
        ],
    }


def _table(rows: list[dict[str, Any]], keys: list[str]) -> None:
    click.echo(
        tabulate([[row[key] for key in keys] for row in rows], keys, tablefmt="plain", disable_numparse=True)
    )


@command.command()
@_paths
@_file
@_config
@click.option("--json", "as_json", is_flag=True, help="For programs, with messages and queue groups.")
def routes(paths: tuple[str, ...], operator_file: str | None, config: str | None, as_json: bool) -> int:
    """List every route with its class and whether it may be repeated, and why."""
    compiled, _, _ = _compiled(paths, operator_file, config)
    rows = [
        _row(route) for route in sorted(compiled.routes, key=lambda one: (one.template, one.operation.action))
    ]
    if as_json:
        click.echo(json.dumps(rows))
    else:
        _table(rows, ["action", "route", "class", "repeat", "why", "place"])
    return 0


@command.command()
@click.argument("words", nargs=-1, required=True, metavar="PATHS... ACTION TEXT")
@_file
@_config
def match(words: tuple[str, ...], operator_file: str | None, config: str | None) -> int:
    """Tell which route ACTION TEXT takes (GET /orders/17, receive orders.17), and those it beat."""
    if len(words) < 3:
        raise click.UsageError("paths, an action and a path or subject are needed")
    *paths, action, text = words
    compiled, _, _ = _compiled(tuple(paths), operator_file, config)
    action = action if action in ("send", "receive") else action.upper()
    found = compiled.match(action, text)
    if not found:
        return refuse([f"{action} {text}: no route matches"])
    rows = [{"": "takes" if index == 0 else "beats"} | _row(route) for index, route in enumerate(found)]
    _table(rows, ["", "action", "route", "class", "repeat", "place"])
    return 0


def _changes(old: CompiledDescriptions, new: CompiledDescriptions) -> Iterator[tuple[str, bool]]:
    """Each change as a sentence, and whether it loosens what may be repeated."""
    before = {(one.operation.action, one.template): one for one in old.routes}
    after = {(one.operation.action, one.template): one for one in new.routes}
    for key in sorted(before.keys() | after.keys()):
        name, was, now = f"{key[0]} {key[1]}", before.get(key), after.get(key)
        if was is None and now:
            yield f"{name}: added, {now.retry_safety.idempotency}, class {now.service_class or 'none'}", False
        elif now is None and was:
            yield f"{name}: removed", False
        elif was and now:
            yield from _route_changes(name, was, now)
    for name in sorted(old.classes.keys() & new.classes.keys()):
        one, other = old.classes[name], new.classes[name]
        if one.idempotency != other.idempotency:
            looser = is_stricter(one.idempotency, other.idempotency)
            yield f"class {name}: {one.idempotency} -> {other.idempotency}", looser


def _route_changes(name: str, was: Route, now: Route) -> Iterator[tuple[str, bool]]:
    if was.service_class != now.service_class:
        yield f"{name}: class {was.service_class or 'none'} -> {now.service_class or 'none'}", False
    one, other = was.retry_safety, now.retry_safety
    if one.idempotency != other.idempotency:
        looser = is_stricter(one.idempotency, other.idempotency)
        word = "becomes repeatable" if looser else "ceases to be repeatable"
        change = f"{one.idempotency} -> {other.idempotency}"
        yield f"{name}: {word}, {change} ({other.reason}, {other.location.short()})", looser
    elif one.idempotency is Idempotency.IDEMPOTENCY_KEY:
        scope, new_scope = one.deduplication_scope, other.deduplication_scope
        window_us, new_window_us = one.deduplication_window_us, other.deduplication_window_us
        if scope != new_scope:
            yield (
                f"{name}: scope {scope} -> {new_scope}",
                SCOPE_NARROWNESS[new_scope] < SCOPE_NARROWNESS[scope],
            )
        if window_us != new_window_us:
            yield (
                f"{name}: known for {window_us / 1e6:g} s -> {new_window_us / 1e6:g} s",
                new_window_us > window_us,
            )


@command.command()
@click.argument("old")
@click.argument("new")
@_file
@_config
@click.option("--json", "as_json", is_flag=True, help="For programs.")
def diff(old: str, new: str, operator_file: str | None, config: str | None, as_json: bool) -> int:
    """Tell what NEW changes of OLD; exit status 3 if anything that could not be repeated may be now."""
    first, _, _ = _compiled((old,), operator_file, config)
    second, _, _ = _compiled((new,), operator_file, config)
    found = list(_changes(first, second))
    if as_json:
        click.echo(json.dumps([{"change": change, "loosens": loosens} for change, loosens in found]))
    else:
        for change, loosens in found:
            click.echo(f"{'loosens  ' if loosens else '         '}{change}")
    return LOOSENS if any(loosens for _, loosens in found) else 0


@command.command()
@_paths
@_file
@_config
@click.option("--out", required=True, metavar="FILE.svg")
def graph(paths: tuple[str, ...], operator_file: str | None, config: str | None, out: str) -> int:
    """Draw services, routes and classes as a picture."""
    from wheatstile.descriptions.graph import draw

    compiled, reading, _ = _compiled(paths, operator_file, config)
    titles = {one.file: one.title or one.file for one in reading.descriptions}
    try:
        draw(compiled.routes, titles).save_svg(out)
    except OSError as error:
        return refuse([f"{out}: {error.strerror or error}"])
    click.echo(f"{out}: {len(compiled.routes)} routes")
    return 0
