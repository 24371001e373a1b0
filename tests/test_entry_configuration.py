"""Tests of the platform's configuration document, its view and the intake."""

import json
import random

import pytest
from result import Err, Ok
from tests.entry_environment import CONFIGURATION
from tests.entry_samples import (
    create_configuration,
    create_journal,
    create_request,
    create_route,
)

from clementinedyke.clock import ManualClock
from clementinedyke.codes import ResultCode
from clementinedyke.entry.catalog import (
    EntryConfiguration,
    RequestKind,
    ServiceShare,
)
from clementinedyke.entry.configuration_view import ConfigurationView
from clementinedyke.entry.intake import Intake, Job, Refusal
from clementinedyke.entry.watch import StoredRow
from clementinedyke.platform.configuration_document import (
    decode_configuration,
)

_DOCUMENT = {
    'version': 7,
    'routes': [
        {
            'name': 'r-1',
            'host': 'Desk.example',
            'prefix': '/review/',
            'kind': 'streaming',
            'timeout_ms': 6000,
            'target_latency_ms': 800,
            'priority': 2,
            'traffic_split': [
                {'service': 'chat', 'weight': 90},
                {'service': 'other', 'weight': 10},
            ],
            'max_attempts': 1,
            'public': False,
            'resumable': True,
        }
    ],
    'services': [
        {
            'name': 'chat',
            'health_path': '/healthz',
            'max_connections': 360,
            'engine': {
                'slots': 64,
                'kv_capacity': 500904,
                'token_kv_bytes': 35136,
            },
            'scaling': {
                'min': 1,
                'max': 3,
                'boot_s': 4.5,
                'spot_price': 0.22,
                'zone_prices': {'zone-a': 1.0},
            },
        }
    ],
    'limits': {
        'max_header_bytes': 16384,
        'max_body_bytes': 4194304,
        'header_timeout_ms': 3000,
        'idle_timeout_ms': 15000,
    },
    'tenants': [{'name': 'loft', 'api_keys': ['key-1'], 'priority': 1}],
}


def create_view(clock: ManualClock) -> ConfigurationView:
    """Return a view that decodes content as a decimal version number."""

    def decode(content: bytes) -> Ok | Err:
        if not content.isdigit():
            return Err('not a number')
        return Ok(create_configuration(int(content)))

    return ConfigurationView('config', decode, create_journal(clock))


def create_fixed_view(configuration: EntryConfiguration) -> ConfigurationView:
    """Return a view in which the given configuration is in force."""

    def decode(content: bytes) -> Ok:
        return Ok(configuration)

    view = ConfigurationView('config', decode, create_journal(ManualClock()))
    view.apply_content(b'1', 0)
    return view


class TestConfigurationDocument:
    """Guards against misreading the operator's document."""

    def test_fields(self) -> None:
        """Each name in the document must set the corresponding field.

        Some names of the document differ from those of the fields.
        """
        decoded = decode_configuration(json.dumps(_DOCUMENT).encode()).unwrap()
        route = decoded.routes[0]
        assert decoded.version == 7
        assert route.host == 'desk.example'
        assert route.kind is RequestKind.STREAM
        assert route.is_resumable and route.is_repeatable
        assert route.shares == (
            ServiceShare('chat', 90),
            ServiceShare('other', 10),
        )
        assert decoded.services['chat'].scaling.boot_time == 4500
        assert decoded.services['chat'].engine.slots == 64
        assert decoded.customers[0].keys == frozenset(('key-1',))

    def test_unreadable(self) -> None:
        """An invalid document must be rejected as a whole, with a reason."""
        for content in (b'', b'{', b'{"version": 8}', b'\xff\xfe'):
            assert decode_configuration(content).unwrap_err()

    def test_unknown_kind(self) -> None:
        """A document with an unknown route kind must be rejected.

        It does not say whether requests of the route may be repeated.
        """
        document = json.loads(json.dumps(_DOCUMENT))
        document['routes'][0]['kind'] = 'sometimes'
        assert decode_configuration(json.dumps(document).encode()).is_err()


class TestConfigurationView:
    """Guards against the loss or downgrade of the configuration."""

    def test_older_version_ignored(self) -> None:
        """An older version that is read late must not replace a newer one."""
        view = create_view(ManualClock())
        for version in (3, 5, 4):
            row = StoredRow('config', version, str(version).encode())
            view.apply_rows((row,), 0)
        assert view.version == 5

    def test_invalid_content_ignored(self) -> None:
        """Invalid or deleted content must leave the last version in force."""
        view = create_view(ManualClock())
        view.apply_rows((StoredRow('config', 1, b'3'),), 0)
        view.apply_rows((StoredRow('config', 2, b'garbage'),), 0)
        view.apply_rows((StoredRow('config', 3, None),), 0)
        assert view.version == 3

    def test_other_rows_ignored(self) -> None:
        """Other rows of the table must not be read as the configuration."""
        view = create_view(ManualClock())
        view.replace_rows((StoredRow('notes', 9, b'9'),), 0)
        assert view.configuration is None

    def test_longest_prefix(self) -> None:
        """The route with the longest prefix must match, in any order."""
        short = create_route(name='short', prefix='/')
        long = create_route(name='long', prefix='/review/')
        for routes in ((short, long), (long, short)):
            view = create_fixed_view(create_configuration(1, routes=routes))
            assert view.find_route('desk.example', '/review/1').name == 'long'
            assert view.find_route('desk.example', '/else').name == 'short'
            assert view.find_route('else.example', '/') is None

    def test_late_confirmation_ignored(self) -> None:
        """A confirmation of an earlier time must not change the age."""
        view = create_view(ManualClock())
        view.confirm(500)
        view.confirm(300)
        assert view.get_age(1000) == 500


class TestIntake:
    """Guards against refusing valid requests and admitting invalid ones."""

    def admit(
        self, view: ConfigurationView, now: int, **fields: object
    ) -> object:
        """Return the accepted job or the refusal of a request."""
        intake = Intake(view, None, 2000, random.Random(1))
        return intake.admit(create_request(**fields), now)

    def test_no_configuration(self) -> None:
        """Without a configuration a request must be refused as retryable."""
        refusal = self.admit(create_view(ManualClock()), 0)
        assert refusal.code is ResultCode.NOT_READY
        assert refusal.retry_after

    def test_unknown_key(self) -> None:
        """An unknown key must be denied only by a recently confirmed view."""
        view = create_view(ManualClock())
        view.apply_content(b'1', 0)
        view.confirm(0)
        fresh = self.admit(view, 100, key='other')
        stale = self.admit(view, 60000, key='other')
        assert fresh.code is ResultCode.KEY_UNKNOWN
        assert stale.code is ResultCode.KEY_STATE_STALE

    @pytest.mark.parametrize('key', ['key-1', 'other', '', None])
    @pytest.mark.parametrize(
        ('tenants', 'is_admitted'),
        [
            ([], False),
            ([{'name': 'loft', 'api_keys': []}], False),
            (None, True),
        ],
    )
    def test_no_customers(
        self, tenants: list | None, is_admitted: bool, key: str | None
    ) -> None:
        """An empty list of customers must admit no key.

        Guards against reading it like a configuration without customers,
        which admits all requests: a withdrawn last key opened the system.
        """
        document = {**CONFIGURATION, 'tenants': tenants}
        view = ConfigurationView(
            'config', decode_configuration, create_journal(ManualClock())
        )
        view.apply_content(json.dumps(document).encode(), 0)
        view.confirm(0)
        admitted = self.admit(
            view, 100, key=key, host='desk.example', path='/read/1'
        )
        assert isinstance(admitted, Job) is is_admitted
        assert is_admitted or admitted.code is ResultCode.KEY_UNKNOWN

    def test_unknown_route(self) -> None:
        """A route that may just have been added must not be answered 404."""
        view = create_view(ManualClock())
        view.apply_content(b'1', 0)
        view.confirm(0)
        assert (
            self.admit(view, 100, path='/new/').code is ResultCode.ROUTE_UNKNOWN
        )
        assert (
            self.admit(view, 9000, path='/new/').code
            is ResultCode.KEY_STATE_STALE
        )

    def test_store_unavailable(self) -> None:
        """Known customers must be served while the store is unavailable."""
        view = create_view(ManualClock())
        view.apply_content(b'1', 0)
        view.confirm(0)
        assert isinstance(self.admit(view, 60000), Job)

    def test_fingerprint_of_repeated_request(self) -> None:
        """A repeated request is recognised, and others are told apart.

        A caller that sends a request again gives it another id.
        """
        view = create_view(ManualClock())
        view.apply_content(b'1', 0)
        view.confirm(0)
        first = self.admit(view, 1).fingerprint
        assert self.admit(view, 2, request_id='r-2').fingerprint == first
        others = (
            {'body': b'another'},
            {'method': 'PUT'},
            {'target': '/review/1?page=2'},
        )
        for fields in others:
            assert self.admit(view, 3, **fields).fingerprint != first

    def test_max_key_age(self) -> None:
        """With a maximum key age, unconfirmed keys must be refused after it."""
        view = create_view(ManualClock())
        view.apply_content(b'1', 0)
        view.confirm(0)
        intake = Intake(view, 5000, 2000, random.Random(1))
        assert isinstance(intake.admit(create_request(), 4000), Job)
        refusal = intake.admit(create_request(), 6000)
        assert isinstance(refusal, Refusal)
        assert refusal.code is ResultCode.KEY_STATE_STALE

    def test_deadline(self) -> None:
        """The shorter time-out of caller and route must set the deadline."""
        view = create_view(ManualClock())
        view.apply_content(b'1', 0)
        view.confirm(0)
        assert self.admit(view, 100, caller_timeout=2000).deadline == 2100
        assert self.admit(view, 100, caller_timeout=60000).deadline == 6100
        assert self.admit(view, 100, caller_timeout=None).deadline == 6100
