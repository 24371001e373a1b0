"""Tests of what daemons tell one another."""

from clementinedyke.entry.news import PeerTable, PeerUpdate


def create_news(
    host: str = 'host-2', sequence: int = 1, **fields: object
) -> PeerUpdate:
    """Return news of a daemon."""
    given = {
        'run_id': f'{host}.1',
        'version': 3,
        'configuration_age': 100,
        'endpoints_revision': 50,
        'interval': 500,
        'work': {'i-1': (2, 9000)},
        'read_parts': {},
        **fields,
    }
    return PeerUpdate(host=host, sequence=sequence, **given)


class TestNewsBoard:
    """Guards against sums that no daemon's work stands behind."""

    def test_sums(self) -> None:
        """Work of several daemons at one endpoint must add up."""
        board = PeerTable('host-1')
        board.apply_update(create_news('host-2'), 0)
        board.apply_update(create_news('host-3', work={'i-1': (1, 500)}), 0)
        assert board.running == {'i-1': 3}
        assert board.tokens == {'i-1': 9500}

    def test_replaced(self) -> None:
        """Newer news replace the work; they don't add to it."""
        board = PeerTable('host-1')
        board.apply_update(create_news(sequence=1), 0)
        board.apply_update(create_news(sequence=2, work={'i-2': (1, 0)}), 10)
        assert board.running == {'i-2': 1}
        assert not board.tokens

    def test_late_datagram(self) -> None:
        """Datagrams overtake one another; the older one must not win."""
        board = PeerTable('host-1')
        board.apply_update(create_news(sequence=2), 0)
        assert not board.apply_update(create_news(sequence=1, work={}), 1)
        assert board.running == {'i-1': 2}

    def test_restart(self) -> None:
        """A daemon that restarted begins to count anew and must be heard."""
        board = PeerTable('host-1')
        board.apply_update(create_news(sequence=900), 0)
        restarted = create_news(sequence=1, run_id='host-2.2', work={})
        assert board.apply_update(restarted, 10)
        assert not board.running

    def test_own_news(self) -> None:
        """A datagram of this host must not be counted twice."""
        board = PeerTable('host-1')
        assert not board.apply_update(create_news('host-1'), 0)

    def test_silent_daemon(self) -> None:
        """The work of a killed daemon must not stand for ever."""
        board = PeerTable('host-1')
        board.apply_update(create_news(), 0)
        board.expire(500)
        assert board.running
        board.expire(3000)
        assert not board.running

    def test_share_of_retries(self) -> None:
        """A daemon that fell silent may still have spent its share."""
        board = PeerTable('host-1')
        board.apply_update(create_news(), 0)
        assert board.count_daemons(9000) == 2
        assert board.count_daemons(20000) == 1

    def test_ahead(self) -> None:
        """A daemon that the store turns away must find one that it serves."""
        board = PeerTable('host-1')
        board.apply_update(create_news(), 0)
        assert board.select_newer_peer(3, 50, 10) is None
        assert board.select_newer_peer(2, 50, 10) == 'host-2'
        assert board.select_newer_peer(3, 49, 10) == 'host-2'
        assert board.select_newer_peer(2, 49, 60000) is None

    def test_confirmation(self) -> None:
        """Only news of the same version confirm it."""
        board = PeerTable('host-1')
        board.apply_update(create_news(configuration_age=300), 1000)
        assert board.get_confirmation_time(3, 1200) == 700
        assert board.get_confirmation_time(4, 1200) is None

    def test_hosts_of_a_window(self) -> None:
        """A window waits for the hosts heard since it began, and no others."""
        board = PeerTable('host-1')
        board.apply_update(create_news('host-2'), 0)
        board.apply_update(create_news('host-3'), 8000)
        assert board.list_hosts(5000, 10000) == {'host-1', 'host-3'}
