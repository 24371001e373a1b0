"""Tests of the clock type."""

import pytest

from clementinedyke.clock import ManualClock, MonotonicClock


class TestManualClock:
    """Guards against virtual time that runs by itself or backwards."""

    def test_moves_only_when_advanced(self) -> None:
        """Tests rely on time standing still between steps."""
        clock = ManualClock(start=5)
        clock.advance(10)
        assert clock.get_now() == 15

    def test_refuses_negative_duration(self) -> None:
        """A clock that goes back would let a lapsed lease revive."""
        with pytest.raises(ValueError, match='negative'):
            ManualClock().advance(-1)


class TestMonotonicClock:
    """Guards against a wrong unit."""

    def test_never_goes_back(self) -> None:
        """Two readings in a row are ordered."""
        clock = MonotonicClock()
        assert clock.get_now() <= clock.get_now()
