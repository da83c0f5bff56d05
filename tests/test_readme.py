"""The README's example prints the output that the README shows."""

import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent


def test_example_prints_the_output_that_the_readme_shows() -> None:
    page = (ROOT / "README.md").read_text()
    code = re.search(r"```python\n(.*?)```", page, re.DOTALL)
    output = re.search(r"```text\n(.*?)```", page, re.DOTALL)
    assert code
    assert output

    completed = subprocess.run(
        [sys.executable, "-c", code[1]], cwd=ROOT, capture_output=True, text=True, check=False
    )

    assert (completed.stderr, completed.stdout) == ("", output[1])
