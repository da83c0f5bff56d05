"""Tests that the reader of the endpoint file neither blocks nor accepts incomplete or mixed content."""

import json
import os
from collections.abc import Callable, Iterator
from contextlib import ExitStack
from pathlib import Path

import pytest
from support.endpoint_files import RULES, endpoint_rows, sealed_document

from wheatstile.resolvers.atomic_write import write_atomic
from wheatstile.resolvers.endpoint_file_reader import EndpointFileReader, ReadOutcome, ReadResult

SETTLE_TIME_S = 1.0

MakeReader = Callable[[Path], EndpointFileReader]


class ManualClock:
    """A clock in seconds that the test advances."""

    now_s = 0.0

    def __call__(self) -> float:
        return self.now_s


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()


@pytest.fixture
def make_reader(clock: ManualClock) -> Iterator[MakeReader]:
    """Return a factory of readers, which are closed at the end of the test."""
    with ExitStack() as readers:

        def make(path: Path) -> EndpointFileReader:
            reader = EndpointFileReader(path, RULES, SETTLE_TIME_S, clock)
            readers.callback(reader.close)
            return reader

        yield make


@pytest.fixture
def reader(tmp_path: Path, make_reader: MakeReader) -> EndpointFileReader:
    """Return a reader of s.json, which does not exist yet."""
    return make_reader(tmp_path / "s.json")


def unsealed_text(*names: str) -> str:
    """Return the text of an unsealed endpoint file with these servers."""
    return json.dumps({"servers": endpoint_rows(*names)})


def server_names(result: ReadResult) -> set[str]:
    """Return the names of the servers in a result, which must be COMPLETE."""
    assert result.endpoint_file
    return set(result.endpoint_file.servers)


def test_unsealed_file_is_accepted_once_unchanged_for_the_settle_time(
    reader: EndpointFileReader, clock: ManualClock
) -> None:
    reader.path.write_text(unsealed_text("x"))
    assert reader.poll().outcome is ReadOutcome.UNSETTLED
    clock.now_s = 0.9
    assert reader.poll().outcome is ReadOutcome.UNSETTLED

    reader.path.write_text(unsealed_text("x", "y"))  # restarts the settle time
    clock.now_s = 1.1
    assert reader.poll().outcome is ReadOutcome.UNSETTLED
    clock.now_s = 2.1
    assert server_names(reader.poll()) == {"x", "y"}
    assert reader.poll().outcome is ReadOutcome.UNCHANGED


def test_file_that_is_replaced_continuously_is_still_accepted(
    reader: EndpointFileReader, clock: ManualClock
) -> None:
    accepted: list[str] = []
    for number in range(20):
        write_atomic(reader.path, unsealed_text(f"x{number}").encode())
        clock.now_s += 0.3
        result = reader.poll()
        if result.endpoint_file:
            accepted += result.endpoint_file.servers
    assert len(accepted) >= 3
    assert accepted == sorted(accepted, key=lambda name: int(name[1:]))


def test_sealed_file_is_accepted_at_once_and_an_invalid_one_rejected_once_settled(
    reader: EndpointFileReader, clock: ManualClock
) -> None:
    data = sealed_document({"servers": endpoint_rows("x")})
    reader.path.write_bytes(data[:-9])
    assert reader.poll().outcome is ReadOutcome.UNSETTLED
    clock.now_s = 1.1
    assert reader.poll().outcome is ReadOutcome.INVALID

    reader.path.write_bytes(data)
    assert reader.poll().outcome is ReadOutcome.COMPLETE


def test_file_that_grows_during_the_read_is_not_accepted(
    reader: EndpointFileReader, monkeypatch: pytest.MonkeyPatch
) -> None:
    reader.path.write_text(unsealed_text("x"))
    real_pread = os.pread

    def growing_pread(descriptor: int, count: int, offset: int) -> bytes:
        with open(reader.path, "a") as file:
            file.write(" ")
        return real_pread(descriptor, count, offset)

    monkeypatch.setattr(os, "pread", growing_pread)
    assert [reader.poll().outcome for _ in range(3)] == [ReadOutcome.UNSETTLED] * 3


@pytest.mark.parametrize(
    ("make", "reason"), [(os.mkdir, "a directory"), (os.mkfifo, "a FIFO"), (None, "No such file")]
)
def test_path_without_regular_file_is_reported_without_blocking(
    reader: EndpointFileReader, make: Callable[[Path], None] | None, reason: str
) -> None:
    if make:
        make(reader.path)

    result = reader.poll()
    assert result.outcome is ReadOutcome.UNREADABLE
    assert reason in result.reasons[0]


def test_device_and_file_without_permission_are_reported(reader: EndpointFileReader) -> None:
    os.symlink("/dev/null", reader.path)
    assert "a device" in reader.poll().reasons[0]

    reader.path.unlink()
    reader.path.write_text(unsealed_text("x"))
    reader.path.chmod(0)
    if os.geteuid():  # root may read every file
        assert "denied" in reader.poll().reasons[0]


def test_directory_link_that_is_replaced_is_followed(tmp_path: Path, make_reader: MakeReader) -> None:
    for name in ("one", "two"):
        (tmp_path / name).mkdir()
        (tmp_path / name / "s.json").write_bytes(sealed_document({"servers": endpoint_rows(name)}))
    link = tmp_path / "current"
    link.symlink_to("one")
    reader = make_reader(link / "s.json")
    assert server_names(reader.poll()) == {"one"}

    (tmp_path / "new").symlink_to("two")
    os.replace(tmp_path / "new", link)
    assert server_names(reader.poll()) == {"two"}


def test_symbolic_link_to_itself_is_unreadable(tmp_path: Path, make_reader: MakeReader) -> None:
    (tmp_path / "loop").symlink_to("loop")
    assert make_reader(tmp_path / "loop").poll().outcome is ReadOutcome.UNREADABLE
