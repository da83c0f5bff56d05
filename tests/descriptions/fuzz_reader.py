"""Fuzzes the reader with coverage: `make fuzz`. Not among the tests: it runs for as long as it is let.

Any error but the reader's own ends it, with the bytes that brought it kept in a file of its own.
"""

import atexit
import shutil
import sys
import tempfile
from pathlib import Path

import atheris

with atheris.instrument_imports(include=["wheatstile.descriptions", "wheatstile.config"]):
    from wheatstile.descriptions.model import DescriptionError
    from wheatstile.descriptions.reader import read

FOLDER = Path(tempfile.mkdtemp())
atexit.register(shutil.rmtree, FOLDER, ignore_errors=True)
STARTS = (
    "",
    "openapi: 3.1.0\ninfo: {title: t, version: '1'}\npaths:\n",
    "asyncapi: 3.0.0\ninfo: {title: t, version: '1'}\n",
    "asyncapi: 2.6.0\ninfo: {title: t, version: '1'}\nchannels:\n",
)


def one(data: bytes) -> None:
    provider = atheris.FuzzedDataProvider(data)
    start = STARTS[provider.ConsumeIntInRange(0, len(STARTS) - 1)]
    path = FOLDER / ("a.json" if provider.ConsumeBool() else "a.yaml")
    path.write_bytes(start.encode() + provider.ConsumeBytes(4096))
    try:
        read([path])
    except DescriptionError as error:
        assert error.lines()


if __name__ == "__main__":
    atheris.Setup(sys.argv, one)
    atheris.Fuzz()
