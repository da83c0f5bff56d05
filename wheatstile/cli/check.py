"""`check`: the operator's file and all that it names, before the balancer reads any of it."""

import os
from pathlib import Path

import click

from wheatstile import interface as api
from wheatstile.cli.common import refuse
from wheatstile.config import operator
from wheatstile.config.operator import OperatorFile
from wheatstile.config.platform import Config, ConfigError
from wheatstile.config.violations import ConfigurationError, Violation, load, locate
from wheatstile.resolvers.endpoint_file import EndpointFileRules, parse_endpoint_file
from wheatstile.resolvers.regular_file import read_all
from wheatstile.resolvers.update_guard import ActiveEndpoints, evaluate


@click.command("check")
@click.argument("file")
@click.option("--config", metavar="FILE", help="The platform's configuration (else RELAY_CONFIG names it).")
def command(file: str, config: str | None) -> int:
    """Check the operator's FILE and all that it names, against the platform's settings where they are given.

    Exit status 0: it holds; 1: refused, every reason on standard error.
    """
    try:
        found = operator.read(file)
    except ConfigurationError as refused:
        return refuse(refused.lines())
    reasons, notes, platform = [], [], None
    config = config or os.environ.get("RELAY_CONFIG")
    if config:
        try:
            platform = Config.read({**os.environ, "RELAY_CONFIG": config})
        except ConfigError as error:
            reasons.append(str(error))
    else:
        notes.append("against the platform's settings: neither --config nor RELAY_CONFIG names them")
    reasons += _servers(found, platform, notes)
    reasons += _descriptions(found, platform, notes)
    if reasons:
        return refuse(reasons)
    click.echo(f"{file}: holds")
    for note in notes:
        click.echo(f"not checked: {note}")
    return 0


def _servers(found: OperatorFile, platform: Config | None, notes: list[str]) -> list[str]:
    servers = found.settings.servers
    if not servers.file:
        return []
    reasons = []
    if servers.state_dir:
        folder = found.near(servers.state_dir)
        if not (folder.is_dir() and os.access(folder, os.W_OK)):
            reasons.append(_at(found, "/servers/state_dir", f"{folder} is no folder that can be written"))
    path, rules = found.near(servers.file), EndpointFileRules.from_settings(servers)
    if not path.exists():
        return [*reasons, _at(found, "/servers/file", f"there is no {path}")]
    try:
        whole = parse_endpoint_file(str(path), read_all(path, rules.max_bytes), rules)
    except ConfigurationError as refused:
        return reasons + refused.lines()
    if platform is None:
        return reasons
    known = [entry for entry in platform.known.endpoints if entry.state == api.EndpointState.READY]
    sites = tuple(sorted({entry.zone for entry in known} - {""}))
    ready = frozenset(entry.name for entry in known) if servers.mode == "override" else frozenset()
    evaluation = evaluate(whole, ActiveEndpoints(None, sites, ready), None, frozenset(), rules)
    if evaluation.is_blocked:
        reasons += [f"{path}:1: /: {reason}" for reason in evaluation.reasons]
    own = platform.settings.zone
    if not any(named.endpoint.zone == own for named in whole.servers.values()):
        notes.append(
            f'whether anybody else serves this balancer\'s own site "{own}": the file names no server there'
        )
    return reasons


def _descriptions(found: OperatorFile, platform: Config | None, notes: list[str]) -> list[str]:
    section = found.settings.descriptions
    if not (section.paths or section.rules or section.classes):
        return []
    from wheatstile.descriptions import reader
    from wheatstile.descriptions.findings import InvalidDescriptionError
    from wheatstile.descriptions.worker_protocol import class_settings

    classes = reader.class_policies(class_settings(platform)) if platform else None
    attempts = platform.settings.max_attempts if platform else 5
    try:
        compiled, _ = reader.compile_paths(map(found.near, section.paths), found, classes, attempts)
    except InvalidDescriptionError as error:
        return error.lines()
    notes += [f"to the end: {warning}" for warning in compiled.warnings]
    return []


def _at(found: OperatorFile, pointer: str, reason: str) -> str:
    """A fault of the operator's file that only its surroundings show, with its line."""
    data = Path(found.path).read_bytes()
    text, _ = load(str(found.path), data, len(data))
    return ConfigurationError(str(found.path), locate(text, [Violation(pointer, reason)])).lines()[0]
