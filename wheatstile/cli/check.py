"""`wheatstile check`: the operator's file and all that it names, before the balancer reads any of it."""

import os
from dataclasses import dataclass, field
from pathlib import Path

import click

from wheatstile import interface as api
from wheatstile.cli.configuration import read_platform_config
from wheatstile.cli.endpoint_files import read_endpoint_file, rejection_reasons
from wheatstile.cli.exit_status import ExitStatus, reject
from wheatstile.cli.options import platform_config_option
from wheatstile.config import operator
from wheatstile.config.operator import OperatorFile, Servers
from wheatstile.config.platform import Config, ConfigError
from wheatstile.config.violations import ConfigurationError, Violation, load, locate
from wheatstile.resolvers.endpoint_file import EndpointFile, EndpointFileRules
from wheatstile.resolvers.source_selection import MergeMode
from wheatstile.resolvers.update_guard import ActiveEndpoints


@dataclass
class Report:
    """What is wrong, and what could not be checked."""

    reasons: list[str] = field(default_factory=list)
    unchecked: list[str] = field(default_factory=list)


@click.command("check")
@click.argument("file")
@platform_config_option
def command(file: str, config: str | None) -> ExitStatus:
    """Check the operator's FILE and all that it names, against the platform's settings where they are given.

    Exit status 0: it holds; 1: refused, every reason on standard error.
    """
    try:
        operator_file = operator.read(file)
    except ConfigurationError as error:
        return reject(error.lines())
    report = Report()
    platform = _read_platform(config, report)
    _check_servers(operator_file, platform, report)
    _check_descriptions(operator_file, platform, report)
    if report.reasons:
        return reject(report.reasons)
    click.echo(f"{file}: holds")
    for subject in report.unchecked:
        click.echo(f"not checked: {subject}")
    return ExitStatus.OK


def _read_platform(config: str | None, report: Report) -> Config | None:
    try:
        platform = read_platform_config(config)
    except ConfigError as error:
        report.reasons.append(str(error))
        return None
    if platform is None:
        report.unchecked.append(
            "against the platform's settings: neither --config nor RELAY_CONFIG names them"
        )
    return platform


def _check_servers(operator_file: OperatorFile, platform: Config | None, report: Report) -> None:
    section = operator_file.settings.servers
    if not section.file:
        return
    if section.state_dir:
        folder = operator_file.near(section.state_dir)
        if not (folder.is_dir() and os.access(folder, os.W_OK)):
            reason = f"{folder} is no folder that can be written"
            report.reasons.append(_located(operator_file, "/servers/state_dir", reason))
    path = operator_file.near(section.file)
    if not path.exists():
        report.reasons.append(_located(operator_file, "/servers/file", f"there is no {path}"))
        return
    try:
        found = read_endpoint_file(str(path), EndpointFileRules.from_settings(section))
    except ConfigurationError as error:
        report.reasons += error.lines()
        return
    if platform:
        _check_against_platform(path, found, section, platform, report)


def _check_against_platform(
    path: Path, found: EndpointFile, section: Servers, platform: Config, report: Report
) -> None:
    """Hold the file of servers against the servers that the platform knows at the start."""
    ready = [endpoint for endpoint in platform.known.endpoints if endpoint.state == api.EndpointState.READY]
    sites = tuple(sorted({endpoint.zone for endpoint in ready} - {""}))
    replaced = (
        {endpoint.name for endpoint in ready} if MergeMode(section.mode) is MergeMode.OVERRIDE else set()
    )
    active = ActiveEndpoints(None, sites, frozenset(replaced))
    for reason in rejection_reasons(found, active, EndpointFileRules.from_settings(section)):
        report.reasons.append(f"{path}:1: /: {reason}")
    own_zone = platform.settings.zone
    if not any(resolved.endpoint.zone == own_zone for resolved in found.servers.values()):
        report.unchecked.append(
            f'whether anybody else serves this balancer\'s own site "{own_zone}": '
            "the file names no server there"
        )


def _check_descriptions(operator_file: OperatorFile, platform: Config | None, report: Report) -> None:
    section = operator_file.settings.descriptions
    if not (section.paths or section.rules or section.classes):
        return
    from wheatstile.cli.description_sets import compile_descriptions
    from wheatstile.descriptions.findings import InvalidDescriptionError

    paths = [operator_file.near(path) for path in section.paths]
    try:
        compiled = compile_descriptions(paths, operator_file, platform).descriptions
    except InvalidDescriptionError as error:
        report.reasons += error.lines()
        return
    report.unchecked += [f"to the end: {warning}" for warning in compiled.warnings]


def _located(operator_file: OperatorFile, pointer: str, reason: str) -> str:
    """Return a violation of the operator's file that only its surroundings show, with its line."""
    data = Path(operator_file.path).read_bytes()
    text, _ = load(str(operator_file.path), data, len(data))
    violations = locate(text, [Violation(pointer, reason)])
    return ConfigurationError(str(operator_file.path), violations).lines()[0]
