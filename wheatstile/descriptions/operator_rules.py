"""The operator's rules and class overrides, with their locations in the operator's file."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace
from pathlib import Path

from wheatstile.config.operator import MAX_OPERATOR_FILE_BYTES, OperatorFile
from wheatstile.config.violations import ConfigurationError, Violation, load, locate, pointer
from wheatstile.descriptions.compile_types import ClassificationRule, ClassPolicies
from wheatstile.descriptions.findings import Finding, InvalidDescriptionError, SourceLocation
from wheatstile.descriptions.language import RuleSyntaxError, parse_condition
from wheatstile.descriptions.route_compiler import unknown_class
from wheatstile.interface import Idempotency


@dataclass(frozen=True, slots=True)
class LocatedOverride:
    """What the operator says of a class, whatever its descriptions say."""

    idempotency: Idempotency
    location: SourceLocation


@dataclass(frozen=True, slots=True)
class OperatorRules:
    """What the operator's file says of descriptions."""

    rules: Sequence[ClassificationRule] = ()
    overrides: Mapping[str, LocatedOverride] = field(default_factory=dict)  # by class

    def override(self, policies: ClassPolicies) -> ClassPolicies:
        """Apply the overrides to the policies.

        Raises InvalidDescriptionError for a class that does not exist.
        """
        unknown = [
            Finding(override.location, unknown_class(name, policies))
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
    """Return the rules and overrides of the operator's file; none if there is no file.

    Raises InvalidDescriptionError for rules that cannot be parsed.
    """
    if operator is None:
        return OperatorRules()
    section = operator.settings.descriptions
    rule_pointers = [pointer("descriptions", "rules", index, "when") for index in range(len(section.rules))]
    override_pointers = {name: pointer("descriptions", "classes", name, "repeat") for name in section.classes}
    locations = _locations(operator.path, [*rule_pointers, *override_pointers.values()])
    rules = []
    findings = []
    for rule, rule_pointer in zip(section.rules, rule_pointers, strict=True):
        location = locations[rule_pointer]
        try:
            condition = parse_condition(rule.when)
        except RuleSyntaxError as error:
            findings.append(Finding(location, str(error)))
            continue
        idempotency = Idempotency(rule.repeat) if rule.repeat else None
        rules.append(ClassificationRule(condition, rule.service_class, location, idempotency))
    if findings:
        raise InvalidDescriptionError(findings)
    overrides = {
        name: LocatedOverride(Idempotency(section.classes[name].repeat), locations[override_pointer])
        for name, override_pointer in override_pointers.items()
    }
    return OperatorRules(rules, overrides)


def _locations(file: Path, pointers: Sequence[str]) -> dict[str, SourceLocation]:
    """Return the locations of these pointers; line 1 if the file has become invalid since it was read."""
    name = str(file)
    try:
        with file.open("rb") as source:
            data = source.read(MAX_OPERATOR_FILE_BYTES + 1)
        text, _ = load(name, data, MAX_OPERATOR_FILE_BYTES)
    except (OSError, ConfigurationError):
        return {wanted: SourceLocation(name, 1, wanted) for wanted in pointers}
    located = locate(text, [Violation(wanted, "") for wanted in pointers])
    return {found.pointer: SourceLocation(name, found.line, found.pointer) for found in located}
