"""Tests of the states that many daemons fetch from one another."""

from tests.recovery_world import RecoveryWorld, run_world

#: Time in ms for which a request may wait in the link of its daemon. Endpoints
#: are dropped this long before the end of the drain delay, so that requests
#: being sent still arrive within it.
_MAX_BACKLOG = 300


def run_worlds(refused: int) -> list[RecoveryWorld]:
    """Return the worlds of three seeds, with 72 daemons each.

    :param refused: number of daemons that the store refuses.
    """
    return [run_world(72, refused, seed) for seed in (1, 2, 3)]


def list_backlogs(worlds: list[RecoveryWorld]) -> list[float]:
    """Return the longest backlog of each world's links, in ms."""
    return [
        max(daemon.longest_backlog for daemon in world.daemons.values())
        for world in worlds
    ]


def is_up_to_date(world: RecoveryWorld) -> bool:
    """Return whether all daemons know the newest revision of the store."""
    return all(
        daemon.view.as_of_revision == world.store.revision
        for daemon in world.daemons.values()
    )


class TestStateFetches:
    """Guards against requests that wait behind lent state in a full link."""

    def test_pausing_feeds(self) -> None:
        """A daemon whose feed only pauses must not fetch any state.

        72 daemons pause their feeds for more than a second after a change. All
        of them asked the one that knew the newest change.
        """
        for world in run_worlds(refused=0):
            assert not sum(item.fetches for item in world.daemons.values())

    def test_refused_daemons(self) -> None:
        """Daemons that the store refuses must not all ask the same daemon."""
        worlds = run_worlds(refused=24)
        assert max(list_backlogs(worlds)) <= _MAX_BACKLOG
        assert all(is_up_to_date(world) for world in worlds)

    def test_single_lender(self) -> None:
        """One daemon must not lend to all others at the same time."""
        worlds = run_worlds(refused=71)
        assert max(list_backlogs(worlds)) <= _MAX_BACKLOG
        assert all(is_up_to_date(world) for world in worlds)
