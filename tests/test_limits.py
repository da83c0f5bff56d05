"""What the module promises its readers: its size, its width, and where it may look."""

import ast
from pathlib import Path

RULES = Path(__file__).parent.parent / "wheatstile" / "rules.py"


def test_module_keeps_its_line_and_width_limits() -> None:
    lines = RULES.read_text().splitlines()
    assert sum(1 for line in lines if line.strip()) <= 500
    assert max(map(len, lines)) <= 110


def test_head_names_the_interface_file() -> None:
    assert "wheatstile/interface.py" in RULES.read_text().split('"""')[1]


def test_library_does_no_io_and_reads_no_clock() -> None:
    allowed = {
        "collections.abc",
        "dataclasses",
        "enum",
        "math",
        "typing",
        "random",
        "zlib",
        "wheatstile",
        "wheatstile.state",
        "wheatstile.weighted_table",
    }
    for path in (
        RULES,
        RULES.with_name("interface.py"),
        RULES.with_name("state.py"),
        RULES.with_name("weighted_table.py"),
    ):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Import):
                assert {name.name for name in node.names} <= allowed, path
            elif isinstance(node, ast.ImportFrom):
                assert node.module in allowed, path
                assert node.module != "random" or [name.name for name in node.names] == ["Random"]
            elif isinstance(node, ast.Call) and isinstance(node.func, ast.Name):
                assert node.func.id not in {"open", "print", "input", "hash", "eval", "exec"}, path
