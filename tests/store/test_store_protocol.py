"""The keys on the wire and on disk, which are independent of the field names in the code."""

from __future__ import annotations

import msgspec
import pytest

from wheatstile.store.backup import BackupHeader
from wheatstile.store.directory_contents import LogHeader
from wheatstile.store.protocol import MemberStatus, PeerHandshake, Reply, Request
from wheatstile.store.raft.messages import Configuration, Entry, HardState, Message, Snapshot
from wheatstile.store.state_machine import SnapshotData

STATUS_KEYS = (
    "name role leader term commit applied snapshot voters learners changing age_ms clock_ms "
    "keys syncs cluster"
)
MESSAGE_KEYS = (
    "kind src dst term index log_term entries commit granted hint round sent echo age force "
    "snapshot offset total"
)
KEYS = {
    BackupHeader: "format cluster revision",
    Configuration: "voters old learners",
    Entry: "term index kind data config",
    HardState: "term vote commit",
    LogHeader: "format cluster name after term",
    MemberStatus: STATUS_KEYS,
    Message: MESSAGE_KEYS,
    PeerHandshake: "cluster name to",
    Reply: "error reason leader result found events revision age_ms status data left",
    Request: "op command key after stale_ms within_ms voters learners",
    Snapshot: "index term config data",
    SnapshotData: "format now_ms keys sessions events forgotten",
}


@pytest.mark.parametrize("struct", KEYS, ids=lambda struct: struct.__name__)
def test_keys_on_the_wire_and_on_disk_are_those_of_format_1(struct: type[msgspec.Struct]) -> None:
    assert " ".join(field.encode_name for field in msgspec.structs.fields(struct)) == KEYS[struct]
