"""Coverage-guided fuzzing of the reader: `make fuzz`. Runs until it is stopped.

The only exception that an input may cause is InvalidDescriptionError. Any other exception ends the program,
and the input is saved to a file.
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

MAX_FUZZED_BYTES = 4096
DIRECTORY = Path(tempfile.mkdtemp())
atexit.register(shutil.rmtree, DIRECTORY, ignore_errors=True)
VALID_STARTS = (
    "",
    "openapi: 3.1.0\ninfo: {title: t, version: '1'}\npaths:\n",
    "asyncapi: 3.0.0\ninfo: {title: t, version: '1'}\n",
    "asyncapi: 2.6.0\ninfo: {title: t, version: '1'}\nchannels:\n",
)


def read_fuzzed_file(data: bytes) -> None:
    """Read a description that consists of a valid start and fuzzed bytes."""
    provider = atheris.FuzzedDataProvider(data)
    start = VALID_STARTS[provider.ConsumeIntInRange(0, len(VALID_STARTS) - 1)]
    path = DIRECTORY / ("a.json" if provider.ConsumeBool() else "a.yaml")
    path.write_bytes(start.encode() + provider.ConsumeBytes(MAX_FUZZED_BYTES))
    try:
        read_descriptions([path])
    except InvalidDescriptionError as error:
        assert error.lines()


if __name__ == "__main__":
    atheris.Setup(sys.argv, read_fuzzed_file)
    atheris.Fuzz()
