"""Reads the operator's rules and class overrides, with their locations in the operator's file."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace
from pathlib import Path

from wheatstile.config.operator import MAX_OPERATOR_FILE_BYTES, DescriptionRule, OperatorFile
from wheatstile.config.violations import ConfigurationError, Violation, json_pointer, load_json, locate
from wheatstile.descriptions.compile_types import ClassificationRule, ClassPolicies
from wheatstile.descriptions.condition_parser import RuleSyntaxError, parse_condition
from wheatstile.descriptions.findings import Finding, InvalidDescriptionError, SourceLocation
from wheatstile.descriptions.keywords import IDEMPOTENCY_KEYWORDS
from wheatstile.descriptions.route_compiler import unknown_class_reason
from wheatstile.interface import Idempotency


@dataclass(frozen=True, slots=True)
class LocatedOverride:
    """The idempotency that the operator's file sets for a class, and its location in the file."""

    idempotency: Idempotency
    location: SourceLocation


@dataclass(frozen=True, slots=True)
class OperatorRules:
    """The rules and class overrides of one operator's file."""

    rules: Sequence[ClassificationRule] = ()
    overrides: Mapping[str, LocatedOverride] = field(default_factory=dict)
    """Overrides by the name of the class."""

    def override(self, policies: ClassPolicies) -> ClassPolicies:
        """Return the policies with the overrides applied.

        Raises InvalidDescriptionError with a finding for each override of an unknown class.
        """
        unknown = [
            Finding(override.location, unknown_class_reason(name, policies))
            for name, override in self.overrides.items()
            if name not in policies
        ]
        if unknown:
            raise InvalidDescriptionError(unknown)
        overridden = {
            name: replace(policies[name], override=override.idempotency, override_location=override.location)
            for name, override in self.overrides.items()
        }
        return {**policies, **overridden}


def read_operator_rules(operator: OperatorFile | None) -> OperatorRules:
    """Return the rules and class overrides of the operator's file. Both are empty if there is no file.

    Raises InvalidDescriptionError with a finding for each rule that cannot be parsed.
    """
    if operator is None:
        return OperatorRules()
    section = operator.settings.descriptions
    rule_pointers = [
        json_pointer("descriptions", "rules", index, "when") for index in range(len(section.rules))
    ]
    override_pointers = {
        name: json_pointer("descriptions", "classes", name, "repeat") for name in section.classes
    }
    locations = _locations(operator.path, [*rule_pointers, *override_pointers.values()])
    rule_locations = [locations[rule_pointer] for rule_pointer in rule_pointers]
    overrides = {
        name: LocatedOverride(
            IDEMPOTENCY_KEYWORDS.member(section.classes[name].repeat), locations[override_pointer]
        )
        for name, override_pointer in override_pointers.items()
    }
    return OperatorRules(_parse_rules(section.rules, rule_locations), overrides)


def _parse_rules(
    rules: Sequence[DescriptionRule], locations: Sequence[SourceLocation]
) -> list[ClassificationRule]:
    """Return the parsed rules. Raises InvalidDescriptionError with a finding for each invalid rule."""
    parsed = []
    findings = []
    for rule, location in zip(rules, locations, strict=True):
        try:
            parsed.append(_parse_rule(rule, location))
        except RuleSyntaxError as error:
            findings.append(Finding(location, str(error)))
    if findings:
        raise InvalidDescriptionError(findings)
    return parsed


def _parse_rule(rule: DescriptionRule, location: SourceLocation) -> ClassificationRule:
    """Return the parsed rule. Raises RuleSyntaxError."""
    condition = parse_condition(rule.when)
    idempotency = IDEMPOTENCY_KEYWORDS.member(rule.repeat) if rule.repeat else None
    return ClassificationRule(condition, rule.service_class, location, idempotency)


def _locations(file: Path, pointers: Sequence[str]) -> dict[str, SourceLocation]:
    """Return the locations of these JSON pointers in the operator's file.

    If the file can no longer be read or is no longer valid JSON, the line of each location is 1.
    """
    name = str(file)
    try:
        with file.open("rb") as source:
            data = source.read(MAX_OPERATOR_FILE_BYTES + 1)
        text, _ = load_json(name, data, MAX_OPERATOR_FILE_BYTES)
    except (OSError, ConfigurationError):
        return {pointer: SourceLocation(name, 1, pointer) for pointer in pointers}
    located = locate(text, [Violation(pointer, "") for pointer in pointers])
    return {found.pointer: SourceLocation(name, found.line, found.pointer) for found in located}
