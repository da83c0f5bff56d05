"""Files as they are found: never blocking, never half, never mixed; and how they are written."""

import json
import os
import signal
import stat
import subprocess
import sys
from pathlib import Path

import pytest
from peers import ROOT
from test_endpoint_file import RULES, rows, sealed

from wheatstile.resolvers.atomic_write import write_atomic
from wheatstile.resolvers.endpoint_file_reader import EndpointFileReader
from wheatstile.resolvers.file_watcher import watched_paths


class Clock:
    now = 0.0

    def __call__(self) -> float:
        return self.now


@pytest.fixture
def clock() -> Clock:
    return Clock()


@pytest.fixture
def reader(tmp_path: Path, clock: Clock) -> EndpointFileReader:
    return EndpointFileReader(tmp_path / "s.json", RULES, 1.0, clock)


def plain(*names: str) -> str:
    return json.dumps({"servers": rows(*names)})


def test_an_unsealed_file_is_taken_once_it_has_stood_unchanged(
    reader: EndpointFileReader, clock: Clock
) -> None:
    reader.path.write_text(plain("x"))
    assert reader.poll().outcome == "unsettled"
    clock.now = 0.9
    assert reader.poll().outcome == "unsettled"
    reader.path.write_text(plain("x", "y"))  # in place: it has to settle anew
    clock.now = 1.1
    assert reader.poll().outcome == "unsettled"
    clock.now = 2.1
    found = reader.poll()
    assert found.document and set(found.document.servers) == {"x", "y"}
    assert reader.poll().outcome == "same"


def test_a_file_replaced_for_ever_is_still_taken(reader: EndpointFileReader, clock: Clock) -> None:
    taken = []
    for number in range(20):
        write_atomic(reader.path, plain(f"x{number}").encode())
        clock.now += 0.3
        if (reading := reader.poll()).document:
            taken += list(reading.document.servers)
    assert len(taken) >= 3 and taken == sorted(taken, key=lambda name: int(name[1:]))


def test_a_sealed_file_is_taken_at_once_and_a_broken_one_told_once_settled(
    reader: EndpointFileReader, clock: Clock
) -> None:
    data = sealed({"servers": rows("x")})
    reader.path.write_bytes(data[:-9])
    assert reader.poll().outcome == "unsettled"
    clock.now = 1.1
    assert reader.poll().outcome == "refused"
    reader.path.write_bytes(data)
    assert reader.poll().outcome == "whole"


def test_a_file_that_grows_while_it_is_read_is_not_believed(
    reader: EndpointFileReader, monkeypatch: pytest.MonkeyPatch
) -> None:
    reader.path.write_text(plain("x"))
    real = os.pread

    def pread(descriptor: int, count: int, offset: int) -> bytes:
        with open(reader.path, "a") as file:
            file.write(" ")
        return real(descriptor, count, offset)

    monkeypatch.setattr(os, "pread", pread)
    assert [reader.poll().outcome for _ in range(3)] == ["unsettled"] * 3


@pytest.mark.parametrize(
    ("make", "told"), [(os.mkdir, "a directory"), (os.mkfifo, "a FIFO"), (None, "No such file")]
)
def test_what_is_no_file_is_told_and_never_waited_for(
    reader: EndpointFileReader, make: object, told: str
) -> None:
    if callable(make):
        make(reader.path)
    reading = reader.poll()
    assert reading.outcome == "problem" and told in reading.reasons[0]


def test_a_device_and_a_file_without_permission_are_told(reader: EndpointFileReader) -> None:
    os.symlink("/dev/null", reader.path)
    assert "a device" in reader.poll().reasons[0]
    reader.path.unlink()
    reader.path.write_text(plain("x"))
    reader.path.chmod(0)
    if os.geteuid():  # root reads all
        assert "denied" in reader.poll().reasons[0]


def test_a_folder_swapped_by_its_link_is_followed_whole(tmp_path: Path, clock: Clock) -> None:
    for name in ("one", "two"):
        (tmp_path / name).mkdir()
        (tmp_path / name / "s.json").write_bytes(sealed({"servers": rows(name)}))
    link = tmp_path / "current"
    link.symlink_to("one")
    reader = EndpointFileReader(link / "s.json", RULES, 1.0, clock)
    folders, names = watched_paths(link / "s.json")
    assert {str(tmp_path), str(tmp_path / "one")} <= folders and {"current", "s.json"} <= names
    assert set(reader.poll().document.servers) == {"one"}  # type: ignore[union-attr]
    (tmp_path / "new").symlink_to("two")
    os.replace(tmp_path / "new", link)
    assert set(reader.poll().document.servers) == {"two"}  # type: ignore[union-attr]
    (tmp_path / "ring").symlink_to("ring")
    assert EndpointFileReader(tmp_path / "ring", RULES, 1.0, clock).poll().outcome == "problem"
    assert watched_paths(tmp_path / "ring")  # and ends


KILLED = """
import os, signal, sys
from pathlib import Path
from wheatstile.resolvers.atomic_write import write_atomic
os.replace = lambda *_: os.kill(os.getpid(), signal.SIGKILL)
write_atomic(Path(sys.argv[1]), b"new")
"""
LIMITED = """
import resource, sys
from pathlib import Path
from wheatstile.resolvers.atomic_write import write_atomic
resource.setrlimit(resource.RLIMIT_FSIZE, (100, 100))
try:
    write_atomic(Path(sys.argv[1]), b"x" * 1000)
except OSError as error:
    sys.exit(error.strerror)
"""


@pytest.mark.parametrize(("script", "status", "left"), [(KILLED, -signal.SIGKILL, 1), (LIMITED, 1, 0)])
def test_a_write_that_ends_early_leaves_the_old_file(
    tmp_path: Path, script: str, status: int, left: int
) -> None:
    path = tmp_path / "f"
    write_atomic(path, b"old")
    run = subprocess.run([sys.executable, "-c", script, str(path)], cwd=ROOT, capture_output=True, text=True)
    assert run.returncode == status, run.stderr
    assert path.read_bytes() == b"old" and len(os.listdir(tmp_path)) == 1 + left
    write_atomic(path, b"next")  # and clears up what the dead one left
    assert path.read_bytes() == b"next" and os.listdir(tmp_path) == ["f"]
    assert stat.S_IMODE(path.stat().st_mode) == 0o644
