"""Fuzzes the reader, guided by coverage: `make fuzz`. No test: it runs until it is stopped.

Any error but the reader's own ends it; the input that caused it is kept in a file.
"""

import atexit
import shutil
import sys
import tempfile
from pathlib import Path

import atheris

with atheris.instrument_imports(include=["wheatstile.descriptions", "wheatstile.config"]):
    from wheatstile.descriptions.findings import InvalidDescriptionError
    from wheatstile.descriptions.reader import read_descriptions

FOLDER = Path(tempfile.mkdtemp())
atexit.register(shutil.rmtree, FOLDER, ignore_errors=True)
STARTS = (
    "",
    "openapi: 3.1.0\ninfo: {title: t, version: '1'}\npaths:\n",
    "asyncapi: 3.0.0\ninfo: {title: t, version: '1'}\n",
    "asyncapi: 2.6.0\ninfo: {title: t, version: '1'}\nchannels:\n",
)


def read_fuzzed_file(data: bytes) -> None:
    """Read a description that begins well and goes on with fuzzed bytes."""
    provider = atheris.FuzzedDataProvider(data)
    start = STARTS[provider.ConsumeIntInRange(0, len(STARTS) - 1)]
    path = FOLDER / ("a.json" if provider.ConsumeBool() else "a.yaml")
    path.write_bytes(start.encode() + provider.ConsumeBytes(4096))
    try:
        read_descriptions([path])
    except InvalidDescriptionError as error:
        assert error.lines()


if __name__ == "__main__":
    atheris.Setup(sys.argv, read_fuzzed_file)
    atheris.Fuzz()
