"""Keywords for idempotencies and deduplication scopes, which do not depend on the enumerations' values."""

import os
import subprocess
import sys
from pathlib import Path
from typing import get_args

import pytest

from wheatstile.config.operator import Repeat
from wheatstile.descriptions.keywords import (
    DECLARABLE_SCOPE_KEYWORDS,
    IDEMPOTENCY_KEYWORDS,
    SCOPE_KEYWORDS,
    UnknownKeywordError,
)
from wheatstile.interface import DeduplicationScope, Idempotency

ROOT = Path(__file__).parents[2]
TIMEOUT_S = 60.0
DESCRIPTION = """openapi: 3.1.0
info: {title: t, version: '1'}
paths:
  /read: {get: {x-wheatstile-class: reads, responses: {default: {description: d}}}}
  /write: {post: {x-wheatstile-class: writes, responses: {default: {description: d}}}}
  /order:
    post: {x-wheatstile-class: orders, x-wheatstile-repeat: keyed, x-wheatstile-window-s: 60,
      x-wheatstile-scope: zone, responses: {default: {description: d}}}
"""
MEMBERS = [*Idempotency, *DeduplicationScope]
REPLACE_VALUES = f"""
import re, sys, types
from pathlib import Path
name = "wheatstile.interface.enumerations"
source = Path({str(ROOT)!r}, "wheatstile", "interface", "enumerations.py").read_text()
members = {"|".join(member.name for member in MEMBERS)!r}
source, count = re.subn(rf'(?m)^(    (?:{{members}}) = )"(.*?)"', r'\\1"replaced-\\2"', source)
assert count == {len(MEMBERS)}, count
module = types.ModuleType(name)
sys.modules[name] = module
exec(compile(source, name, "exec"), module.__dict__)

from wheatstile.interface import DeduplicationScope, Idempotency
for member in [*Idempotency, *DeduplicationScope]:
    assert member.value.startswith("replaced-"), member
"""
RUN_COMMANDS = """
from wheatstile.cli.descriptions import command
for arguments in ("check a.yaml", "routes a.yaml", "routes a.yaml --json", "diff a.yaml b.yaml"):
    print(command(arguments.split(), standalone_mode=False))
"""
ENCODE_WORKER_MESSAGES = """
from wheatstile.descriptions import worker_protocol as protocol
from wheatstile.interface import DeduplicationScope, Idempotency
compiled = protocol.CompiledClass(Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.UNKNOWN, 60)
summary = protocol.CompilationSummary(classes={"web": compiled}, route_count=1, files=[], warnings=[])
encoded = protocol.encode_result(summary)
assert protocol.decode_result(encoded) == summary
print(encoded.decode())
"""


def run(directory: Path, program: str) -> str:
    """Run a program in a separate Python process and return its standard output."""
    result = subprocess.run(
        [sys.executable, "-c", program],
        cwd=directory,
        env=os.environ | {"PYTHONPATH": str(ROOT)},
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )
    assert result.returncode == 0, result.stderr
    return result.stdout


@pytest.fixture
def directory(tmp_path: Path) -> Path:
    """Return a directory with a description and a changed copy of it."""
    (tmp_path / "a.yaml").write_text(DESCRIPTION)
    changed = DESCRIPTION.replace("scope: zone", "scope: cell").replace("get:", "patch:")
    (tmp_path / "b.yaml").write_text(changed)
    return tmp_path


def test_idempotency_has_the_keywords_that_files_use() -> None:
    assert IDEMPOTENCY_KEYWORDS.keywords == ("safe", "keyed", "unsafe")
    assert IDEMPOTENCY_KEYWORDS.keyword(Idempotency.IDEMPOTENT) == "safe"
    assert IDEMPOTENCY_KEYWORDS.keyword(Idempotency.IDEMPOTENCY_KEY) == "keyed"
    assert IDEMPOTENCY_KEYWORDS.keyword(Idempotency.NON_IDEMPOTENT) == "unsafe"


def test_operator_file_allows_exactly_the_idempotency_keywords() -> None:
    assert get_args(Repeat) == IDEMPOTENCY_KEYWORDS.keywords


def test_scope_has_the_keywords_that_files_use() -> None:
    assert SCOPE_KEYWORDS.keywords == ("all", "zone", "cell", "unknown")
    assert SCOPE_KEYWORDS.keyword(DeduplicationScope.ALL) == "all"
    assert SCOPE_KEYWORDS.keyword(DeduplicationScope.ZONE) == "zone"
    assert SCOPE_KEYWORDS.keyword(DeduplicationScope.CELL) == "cell"
    assert SCOPE_KEYWORDS.keyword(DeduplicationScope.UNKNOWN) == "unknown"


def test_description_cannot_declare_an_unknown_scope() -> None:
    assert DECLARABLE_SCOPE_KEYWORDS.keywords == ("all", "zone", "cell")
    with pytest.raises(UnknownKeywordError):
        DECLARABLE_SCOPE_KEYWORDS.member("unknown")


@pytest.mark.parametrize("idempotency", Idempotency)
def test_idempotency_round_trips_through_its_keyword(idempotency: Idempotency) -> None:
    assert IDEMPOTENCY_KEYWORDS.member(IDEMPOTENCY_KEYWORDS.keyword(idempotency)) is idempotency


@pytest.mark.parametrize("scope", DeduplicationScope)
def test_scope_round_trips_through_its_keyword(scope: DeduplicationScope) -> None:
    assert SCOPE_KEYWORDS.member(SCOPE_KEYWORDS.keyword(scope)) is scope


@pytest.mark.parametrize("value", ["Safe", "", None, 1, True, [], {}])
def test_value_that_is_not_a_keyword_is_rejected_with_the_allowed_ones(value: object) -> None:
    with pytest.raises(UnknownKeywordError, match="is not one of safe, keyed, unsafe") as error:
        IDEMPOTENCY_KEYWORDS.member(value)
    assert error.value.allowed == ("safe", "keyed", "unsafe")


@pytest.mark.parametrize(
    "program", [RUN_COMMANDS, ENCODE_WORKER_MESSAGES], ids=["commands", "worker messages"]
)
def test_output_does_not_depend_on_the_enumeration_values(directory: Path, program: str) -> None:
    output = run(directory, program)
    assert "keyed" in output
    assert run(directory, REPLACE_VALUES + program) == output
