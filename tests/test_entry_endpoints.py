"""Tests of endpoint entries and of the view of them."""

import json
from dataclasses import replace

from result import Err, Ok
from tests.entry_samples import create_endpoint, create_journal

from clementinedyke.clock import ManualClock
from clementinedyke.entry.catalog import Stage
from clementinedyke.entry.endpoint_view import Decoder, EndpointView
from clementinedyke.entry.store_contact import StoreContact
from clementinedyke.entry.watch import StoredRow
from clementinedyke.http.client import Address
from clementinedyke.platform.endpoint_document import decode_endpoint

_ENTRY = {
    'service': 'chat',
    'address': '10.128.0.9:8080',
    'zone': 'zone-a',
    'version': 'v1',
    'slots': 64,
    'state': 'ready',
    'cold_remaining_ms': 0,
    'stage': 'decode',
    'models': [],
    'sequence': 4,
    'born': 1765000000000,
}
_DRAIN = 2000


def decode_state(endpoint_id: str, content: bytes) -> Ok | Err:
    """Return an endpoint whose entry contains ``ready`` or ``leaving``."""
    if content not in {b'ready', b'leaving'}:
        return Err('unreadable')
    return Ok(create_endpoint(endpoint_id, is_leaving=content == b'leaving'))


def create_view(lag: int = 0, decode: Decoder = decode_state) -> EndpointView:
    """Return a view without endpoints.

    :param lag: delay in ms with which changes are seen.
    :param decode: decodes the content of an entry.
    """
    return EndpointView(
        decode,
        _DRAIN,
        lambda: lag,
        StoreContact(),
        create_journal(ManualClock()),
    )


def list_ids(view: EndpointView, now: int) -> list[str]:
    """Return the ids of the endpoints that may get work."""
    return [
        endpoint.endpoint_id
        for endpoint in view.list_endpoints(now)
        if not endpoint.is_leaving
    ]


class TestEndpointDocument:
    """Guards against endpoints decoded from malformed entries."""

    def test_decodes_fields(self) -> None:
        """The fields of an entry must be decoded."""
        endpoint = decode_endpoint('i-1', json.dumps(_ENTRY).encode()).unwrap()
        assert endpoint.stage is Stage.DECODE
        assert endpoint.run_id == 'i-1/1765000000000'
        assert str(endpoint.address) == '10.128.0.9:8080'
        assert not endpoint.is_leaving

    def test_malformed_entries_rejected(self) -> None:
        """Missing fields, wrong types and unknown values are rejected."""
        wrong = (
            {'state': 'perhaps'},
            {'stage': 'both'},
            {'slots': 'many'},
            {'slots': 0},
            {'address': '10.128.0.9'},
            {'address': '10.128.0.9:99999'},
            {'service': None},
            {'born': 1.5},
        )
        for change in wrong:
            content = json.dumps({**_ENTRY, **change}).encode()
            assert decode_endpoint('i-1', content).is_err(), change
        for content in (b'', b'\x00\xff', b'[]', b'"text"'):
            assert decode_endpoint('i-1', content).is_err()
        for name in ('service', 'address', 'zone', 'slots', 'state'):
            entry = {key: _ENTRY[key] for key in _ENTRY if key != name}
            assert decode_endpoint('i-1', json.dumps(entry).encode()).is_err()


class TestEndpointView:
    """Guards against requests to endpoints that left and lost live ones."""

    def test_unreadable_entry_skipped(self) -> None:
        """An unreadable entry must not prevent reading the others."""
        view = create_view()
        rows = (StoredRow('i-1', 1, b'?'), StoredRow('i-2', 2, b'ready'))
        view.apply_rows(rows, 0)
        assert list_ids(view, 0) == ['i-2']

    def test_removed_endpoint_dropped(self) -> None:
        """An endpoint whose entry was removed must get no further work."""
        view = create_view()
        view.apply_rows((StoredRow('i-1', 1, b'ready'),), 0)
        view.apply_rows((StoredRow('i-1', 2, None),), 10)
        assert not list_ids(view, 10)

    def test_entry_expired_in_store_failure_kept(self) -> None:
        """Endpoints must be kept if their entries expire in a store failure."""
        view = create_view()
        view.apply_rows((StoredRow('i-1', 1, b'ready'),), 0)
        view.record_failure(1000)
        view.replace_rows((), 1500)
        assert list_ids(view, 2000) == ['i-1']
        view.apply_rows((StoredRow('i-1', 9, b'ready'),), 2500)
        assert list_ids(view, 9000) == ['i-1']

    def test_expired_endpoint_dropped_in_time(self) -> None:
        """An expired endpoint must be dropped before the drain delay ends."""
        view = create_view()
        view.apply_rows((StoredRow('i-1', 1, b'ready'),), 0)
        view.record_failure(1000)
        view.replace_rows((), 1500)
        assert not list_ids(view, 1500 + _DRAIN - 1)

    def test_drain_delay_counts_from_removal(self) -> None:
        """The drain delay starts at the removal, not when it is noticed.

        With 64 daemons a change is noticed only at the next call of the
        change feed. An engine got a request 3.006 s after it had left.
        """
        view = create_view(lag=1000)
        view.apply_rows((StoredRow('i-1', 1, b'ready'),), 0)
        view.record_failure(1000)
        view.apply_rows((StoredRow('i-1', 2, None),), 2200)
        assert not list_ids(view, 1200 + _DRAIN - 1)

    def test_older_row_ignored(self) -> None:
        """An older row that arrives late must not undo a newer one."""
        view = create_view()
        view.apply_rows((StoredRow('i-1', 5, b'leaving'),), 0)
        view.apply_rows((StoredRow('i-1', 4, b'ready'),), 10)
        assert not list_ids(view, 10)

    def test_expired_rows_not_shared(self) -> None:
        """Expired endpoints must not be shared with other daemons.

        An engine got requests 2.2 s after its entry was gone because a daemon
        that had dropped it received it from a view that still kept it.
        """
        view = create_view()
        view.apply_rows((StoredRow('i-1', 1, b'ready'),), 0)
        view.record_failure(1000)
        view.apply_rows((StoredRow('i-1', 2, None),), 1200)
        assert list_ids(view, 1300) == ['i-1']
        assert not view.list_rows()

    def test_removal_updates_changed_revision(self) -> None:
        """Removals must count as changes.

        Otherwise a daemon that missed one would not be noticed.
        """
        view = create_view()
        view.apply_rows((StoredRow('i-1', 3, b'ready'),), 0)
        view.apply_rows((StoredRow('i-1', 8, None),), 0)
        assert view.changed_revision == 8

    def test_later_endpoint_at_an_address(self) -> None:
        """An endpoint whose address a later one has gets no work.

        Entries of endpoints that ended are back if the store returns from an
        older copy, and an answer at the address would come from another run.
        """

        def decode(endpoint_id: str, content: bytes) -> Ok:
            endpoint = create_endpoint(endpoint_id)
            address = Address('127.0.0.1', 1)
            started_at = int(content)
            changes = {'address': address, 'started_at': started_at}
            return Ok(replace(endpoint, **changes))

        view = create_view(decode=decode)
        rows = (StoredRow('i-2', 1, b'20'), StoredRow('i-1', 2, b'10'))
        view.apply_rows(rows, 0)
        assert list_ids(view, 0) == ['i-2']
        view.apply_rows((StoredRow('i-2', 3, None),), 10)
        assert list_ids(view, 10) == ['i-1']


class TestStoreContact:
    """Guards against one daemon's lost calls taken for an outage."""

    def test_answers_to_other_daemons(self) -> None:
        """Answers to other daemons must show that the store is up."""
        contact = StoreContact()
        contact.record_answer(1000)
        for instant in range(1500, 8000, 1000):
            contact.record_remote_answer(instant)
        assert not contact.was_silent(4000, 8000)
        assert contact.get_age(8000) == 7000

    def test_silence(self) -> None:
        """A silence must count while it lasts and for the window after it."""
        contact = StoreContact()
        contact.record_answer(1000)
        assert contact.was_silent(4000, 3000)
        contact.record_answer(4000)
        assert contact.was_silent(4000, 7999)
        for instant in range(5000, 9000, 1000):
            contact.record_remote_answer(instant)
        assert not contact.was_silent(4000, 8000)

    def test_late_datagram(self) -> None:
        """An older answer that is told late must change nothing."""
        contact = StoreContact()
        contact.record_answer(5000)
        contact.record_remote_answer(1000)
        contact.record_remote_answer(5500)
        assert not contact.was_silent(4000, 6000)
