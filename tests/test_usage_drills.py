"""Tests of usage windows while the store returns from older copies."""

import pytest
import trio
from tests.drill_fleet import REPORT_DELAY, WINDOW, DrillFleet, run_drill_fleet

_SEEDS = 40
#: Time in which the daemons begin and the first window ends, in seconds.
_START = 12
_SECOND = 1000


def list_contradictions(fleet: DrillFleet) -> dict[int, object]:
    """Return the windows that were reported with different counts."""
    figures = fleet.reports.list_figures()
    return {
        window: found for window, found in figures.items() if len(found) > 1
    }


def list_late(fleet: DrillFleet, first: int, last: int) -> list[int]:
    """Return windows without a true report in time."""
    in_time = {
        window
        for window, counts, _, now in fleet.reports.received
        if now <= (window + 1) * WINDOW + REPORT_DELAY
        and counts == dict(fleet.counted[window])
    }
    return [
        window for window in range(first, last + 1) if window not in in_time
    ]


class TestOneDrill:
    """Guards against a second figure, and against windows that are left out.

    A new holder summed the parts of the copy once more, after the former one
    had reported the window.
    """

    @pytest.mark.parametrize('offset', range(0, 5000, 500))
    @pytest.mark.parametrize('copy_age', [0.4, 1.5, 3.4, 5.0])
    def test_holder_lives(self, copy_age: float, offset: int) -> None:
        """Every window has one report, with all requests, in time.

        The holder knows which windows it has summed, and that no one has
        summed the others.
        """

        async def scenario(fleet: DrillFleet) -> None:
            await trio.sleep(_START + offset / _SECOND)
            await fleet.play_drill(copy_age, 0.5)
            await trio.sleep(30)

        fleet = run_drill_fleet(1, scenario)
        assert not list_contradictions(fleet)
        assert not list_late(fleet, 2, 6)

    @pytest.mark.parametrize('offset', range(0, 5000, 500))
    def test_holder_is_killed(self, offset: int) -> None:
        """Windows that began after the return are reported in time.

        What the killed holder had reported is not known to any other daemon.
        """
        returned: list[int] = []

        async def scenario(fleet: DrillFleet) -> None:
            await trio.sleep(_START + offset / _SECOND)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.play_drill, 3.0, 0.5)
                await trio.sleep(2.9)
                holder = fleet.find_holder()
                assert holder is not None
                nursery.start_soon(fleet.restart, holder, 1.0)
            returned.append(fleet.get_unix())
            await trio.sleep(30)

        fleet = run_drill_fleet(1, scenario)
        assert not list_contradictions(fleet)
        first = returned[0] // WINDOW + 1
        assert not list_late(fleet, first, first + 2)

    @pytest.mark.parametrize('offset', [3300, 3500, 3700])
    def test_sum_without_report(self, offset: int) -> None:
        """A sum that the copy lacks is reported, not summed again.

        The platform took no reports while its window was summed.
        """

        async def scenario(fleet: DrillFleet) -> None:
            await trio.sleep(_START + offset / _SECOND)
            fleet.reports.is_down = True
            await fleet.play_drill(1.5, 0.2)
            fleet.reports.is_down = False
            await trio.sleep(25)

        fleet = run_drill_fleet(1, scenario)
        assert not list_contradictions(fleet)
        assert not list_late(fleet, 1, 5)

    @pytest.mark.parametrize('offset', range(0, 5000, 500))
    def test_drill_after_a_killed_holder(self, offset: int) -> None:
        """A window that an era may not sum stays so in the next one.

        The holder of the second era must not take it for open: the one that
        was killed in the first drill may have reported it.
        """

        async def scenario(fleet: DrillFleet) -> None:
            await trio.sleep(_START + offset / _SECOND)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.play_drill, 3.0, 0.2)
                await trio.sleep(2.9)
                nursery.start_soon(
                    fleet.restart, fleet.find_holder() or 'host-0', 0.5
                )
            await trio.sleep(3)
            await fleet.play_drill(0.5, 0.2)
            await trio.sleep(25)

        fleet = run_drill_fleet(1, scenario)
        assert not list_contradictions(fleet)


class TestSeriesOfDrills:
    """Guards against figures that differ after any number of drills."""

    @pytest.mark.parametrize('seed', range(_SEEDS))
    def test_one_figure(self, seed: int) -> None:
        """Drills, kills, cuts and lost answers leave one figure a window."""

        async def play_series(fleet: DrillFleet) -> None:
            for _ in range(5):
                await trio.sleep(fleet.generator.uniform(0.1, 8))
                await fleet.play_drill(
                    fleet.generator.uniform(0.5, 5),
                    fleet.generator.uniform(0.2, 1),
                )

        async def restart_some(fleet: DrillFleet) -> None:
            for _ in range(3):
                await trio.sleep(fleet.generator.uniform(1, 12))
                host = fleet.generator.choice(sorted(fleet.daemons))
                await fleet.restart(host, fleet.generator.uniform(0.3, 2))

        async def cut_some(fleet: DrillFleet) -> None:
            for _ in range(4):
                await trio.sleep(fleet.generator.uniform(1, 9))
                holder = fleet.find_holder() or 'host-0'
                await fleet.cut(holder, fleet.generator.uniform(0.5, 7))

        async def scenario(fleet: DrillFleet) -> None:
            fleet.reports.lost_share = 0.1
            await trio.sleep(_START)
            async with trio.open_nursery() as nursery:
                for trouble in (play_series, restart_some, cut_some):
                    nursery.start_soon(trouble, fleet)
            await trio.sleep(25)

        fleet = run_drill_fleet(seed, scenario)
        assert not list_contradictions(fleet)
        shared = {
            fence: hosts
            for fence, hosts in fleet.reports.list_holders().items()
            if len(hosts) > 1
        }
        assert not shared
        newest = fleet.ended_at // WINDOW
        assert not list_late(fleet, newest - 4, newest - 3)
