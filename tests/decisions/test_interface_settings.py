"""Tests of the validation of settings."""

import pytest
from support.balancer_harness import settings


@pytest.mark.parametrize(
    "change", [{"fleet_size": 0}, {"classes": {}}, {"slow_start_initial_capacity": float("nan")}]
)
def test_error_names_the_setting_that_is_out_of_range(change: dict[str, object]) -> None:
    with pytest.raises(ValueError, match=next(iter(change))):
        settings(**change)
