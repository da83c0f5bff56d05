"""Tests of limits for the decision modules: length, line width, imports, and no input or output."""

import ast
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
PACKAGE = ROOT / "wheatstile" / "decisions"
POLICY = [ROOT / name for name in tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]]
NON_POLICY_MODULES = {
    "__init__.py",
    "balancer.py",
    "connection.py",
    "connection_table.py",
    "endpoint_table.py",
    "event_context.py",
    "lookup_table.py",
    "server.py",
    "token_bucket.py",
}
MODULES = [*sorted(PACKAGE.glob("*.py")), *sorted((ROOT / "wheatstile" / "interface").glob("*.py"))]
ALLOWED_IMPORTS = {
    "collections.abc",
    "dataclasses",
    "enum",
    "math",
    "random",
    "typing",
    "wheatstile",
    "wheatstile.interface",
    "zlib",
}
FORBIDDEN_CALLS = {"open", "print", "input", "hash", "eval", "exec"}


def test_policy_files_keep_their_width_limit() -> None:
    lines = [line for path in POLICY for line in path.read_text().splitlines()]
    assert max(map(len, lines)) <= 110


def test_modules_keep_their_length_limit() -> None:
    assert max(len(path.read_text().splitlines()) for path in MODULES) <= 300


def test_policy_names_every_module_that_decides() -> None:
    assert {path.name for path in PACKAGE.glob("*.py")} - NON_POLICY_MODULES == {path.name for path in POLICY}
    assert {path.parent for path in POLICY} == {PACKAGE}


def test_balancer_docstring_names_the_interface() -> None:
    assert "wheatstile/interface/" in (PACKAGE / "balancer.py").read_text().split('"""')[1]


@pytest.mark.parametrize("path", MODULES, ids=lambda path: f"{path.parent.name}/{path.name}")
def test_decisions_do_no_io_and_read_no_clock(path: Path) -> None:
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            assert {name.name for name in node.names} <= ALLOWED_IMPORTS
        elif isinstance(node, ast.ImportFrom):
            module = node.module or ""
            assert module in ALLOWED_IMPORTS or module.startswith(
                ("wheatstile.decisions", "wheatstile.interface")
            )
            assert module != "random" or [name.name for name in node.names] == ["Random"]
        elif isinstance(node, ast.Call) and isinstance(node.func, ast.Name):
            assert node.func.id not in FORBIDDEN_CALLS
