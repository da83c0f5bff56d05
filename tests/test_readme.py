"""The README's example prints what the README says."""

import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent


def test_example_prints_what_the_readme_says() -> None:
    text = (ROOT / "README.md").read_text()
    code = re.search(r"```python\n(.*?)```", text, re.DOTALL)
    printed = re.search(r"```text\n(.*?)```", text, re.DOTALL)
    assert code
    assert printed
    run = subprocess.run(
        [sys.executable, "-c", code[1]], cwd=ROOT, capture_output=True, text=True, check=False
    )
    assert (run.stderr, run.stdout) == ("", printed[1])
