"""The delivery schedule keeps the order of pieces, and never loses or duplicates the first frame."""

from __future__ import annotations

import random

from wheatstile.fault_proxy.delivery import DeliverySchedule, ScheduledPiece
from wheatstile.fault_proxy.fault_table import LinkConditions

FRAME = b"\0\0\0\1x"


def test_piece_is_never_delivered_before_an_earlier_one() -> None:
    schedule = DeliverySchedule(random.Random(1), frames=False)
    delayed = list(schedule.add(b"one", LinkConditions(delay_s=5.0), now_s=10.0))
    healed = list(schedule.add(b"two", LinkConditions(), now_s=11.0))

    assert delayed == [ScheduledPiece(15.0, b"one")]
    assert healed == [ScheduledPiece(15.0, b"two")]
    assert schedule.end() == ScheduledPiece(15.0, b"")


def test_first_frame_is_always_delivered_once() -> None:
    lossy = DeliverySchedule(random.Random(1), frames=True)
    duplicating = DeliverySchedule(random.Random(1), frames=True)
    copies_when_lossy = [len(list(lossy.add(FRAME, LinkConditions(loss_ratio=1.0), 0.0))) for _ in range(3)]
    copies_when_duplicating = [
        len(list(duplicating.add(FRAME, LinkConditions(duplication_ratio=1.0), 0.0))) for _ in range(3)
    ]

    assert copies_when_lossy == [1, 0, 0]
    assert copies_when_duplicating == [1, 2, 2]


def test_bytes_without_frames_are_neither_lost_nor_duplicated() -> None:
    schedule = DeliverySchedule(random.Random(1), frames=False)
    assert schedule.split(b"any bytes") == [b"any bytes"]
    conditions = LinkConditions(loss_ratio=1.0, duplication_ratio=1.0)
    assert [len(list(schedule.add(b"x", conditions, 0.0))) for _ in range(3)] == [1, 1, 1]
