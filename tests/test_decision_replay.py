"""The decisions stay as they are, byte for byte, whatever becomes of the module's names and shape."""

from support.decision_replay import digest, replay

# Of the text of 2 December 2026 (commit 77e20f2). It changes only with a commit that changes a decision and
# says so.
EXPECTED_DIGEST = "51aeaab85c0fff0cfb7ad504e0e0b73e8192d1241c17dc0b2a7fc62dd6982556"
EXPECTED_LINES = 85_295

# Reached by it: every line and branch of the module but the one for an event of an unknown type.


def test_a_seeded_input_is_answered_with_the_same_actions_in_the_same_order() -> None:
    lines = replay()
    assert (len(lines), digest(lines)) == (EXPECTED_LINES, EXPECTED_DIGEST)
