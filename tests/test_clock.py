"""Tests of the clocks."""

import pytest

from clementinedyke.clock import ManualClock, MonotonicClock


class TestManualClock:
    """Guards against manual time that advances by itself or goes backwards."""

    def test_moves_only_when_advanced(self) -> None:
        """Tests rely on the time not changing between steps."""
        clock = ManualClock(start=5)
        clock.advance(10)
        assert clock.get_now() == 15

    def test_refuses_negative_duration(self) -> None:
        """If the clock went back, an expired lease would seem valid again."""
        with pytest.raises(ValueError, match='negative'):
            ManualClock().advance(-1)


class TestMonotonicClock:
    """Guards against a clock that goes backwards."""

    def test_never_goes_back(self) -> None:
        """A later reading is not smaller than an earlier one."""
        clock = MonotonicClock()
        assert clock.get_now() <= clock.get_now()
