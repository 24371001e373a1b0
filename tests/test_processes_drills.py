"""Soak of real processes with drills of the store; short and seeded."""

import pytest
from tests.drill_soak import run_soak

_SECONDS = 22


class TestDrillSoak:
    """Guards against second usage reports and processes that end.

    The users saw windows with two and three figures on machines of their own.
    The longer soak is ``python -m tests.drill_soak``.
    """

    @pytest.mark.parametrize('seed', [1])
    def test_no_rule_is_broken(self, seed: int) -> None:
        """Drills, stops, kills, freezes and reloads break no rule."""
        report = run_soak(seed, _SECONDS)
        assert not report.broken
        assert report.reported
