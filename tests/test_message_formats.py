"""Tests of the bytes that daemons of different builds exchange or store."""

import json

import msgspec
import pytest

from clementinedyke.entry.feed_messages import (
    FEED_PREFIX,
    FeedNews,
    NewsRow,
    TableNews,
    decode_news,
    encode_news,
)
from clementinedyke.entry.news import PeerUpdate
from clementinedyke.entry.relay_messages import RelayedRequest
from clementinedyke.entry.stream_messages import (
    StreamBegun,
    VersionAsked,
    VersionTold,
    decode_message,
    encode_message,
)
from clementinedyke.entry.usage_duty import UsagePart
from clementinedyke.entry.usage_messages import (
    SharedPart,
    UsageShares,
    UsageWritten,
    WrittenPart,
    decode_usage,
    encode_usage,
)
from clementinedyke.entry.usage_windows import WindowSum
from clementinedyke.leases.types import FormerHolder, Identity, LeaseRow
from clementinedyke.quarantine.rows import SuspectRow

_HOLDER = Identity('host-1', '10.0.0.1:7000', 'host-1.7')
_EVIDENCE = SuspectRow('10.0.0.9:8080', 'i-1/17', 'f00d', is_crash=True)
_UPDATE = PeerUpdate(
    'host-1',
    'host-1.7',
    sequence=4,
    version=3,
    configuration_age=120,
    endpoints_revision=900,
    interval=250,
    work={'i-1': (2, 5000)},
    read_parts={'i-1': ['5ca1ab1e']},
    store_age=40,
    evidence=[_EVIDENCE],
    suspects_revision=800,
    cleared_parts=['0a'],
    tried_parts=['0b'],
    limits=[('i-1/17', 12.5, 30)],
    can_relay=True,
)
_RELAYED = RelayedRequest(
    'i-1/17', 'POST', '/ask/1', [(b'x-key', b'key-1')], b'body'
)
#: Arrays as 09d369e sent them, the last landed build without ``departures``.
_FORMER_ARRAYS = {
    'update': (
        _UPDATE,
        (
            'dc0010a6686f73742d31a8686f73742d312e37040378cd0384ccfa81a369'
            '2d319202cd138881a3692d3191a83563613161623165289184ab656e6470'
            '6f696e745f6964ad31302e302e302e393a38303830a7626f6f745f6964a6'
            '692d312f3137ab66696e6765727072696e74a466303064a869735f637261'
            '7368c3cd032091a2306191a230629193a6692d312f3137cb402900000000'
            '00001ec3'
        ),
    ),
    'relayed request': (
        _RELAYED,
        (
            '95a6692d312f3137a4504f5354a62f61736b2f319192c405782d6b6579c4'
            '056b65792d31c404626f6479'
        ),
    ),
}
_STREAMS = {
    'begun': (StreamBegun(77, 'v2', 9000), 'c194014da27632cd2328'),
    'asked': (
        VersionAsked(77, 'chat', 9000),
        'c194024da463686174cd2328',
    ),
    'told': (
        VersionTold(77, None, ['v1', 'v2']),
        'c194034dc092a27631a27632',
    ),
}
#: Rows as 09d369e stored them.
_FORMER_ROWS = {
    'usage part': (
        UsagePart('host-1', {'loft': 3}, is_final=True),
        '{"host":"host-1","counts":{"loft":3},"is_final":true}',
    ),
    'window sum': (
        WindowSum({'loft': 3}, is_reported=True),
        '{"counts":{"loft":3},"is_reported":true}',
    ),
    'lease': (
        LeaseRow(
            _HOLDER,
            4,
            2,
            3000,
            'ab',
            (FormerHolder(_HOLDER, 3, proved=True),),
        ),
        (
            '{"holder":{"host":"host-1","address":"10.0.0.1:7000",'
            '"incarnation":"host-1.7"},"fence":4,"count":2,"duration":3000,'
            '"nonce":"ab","unreleased":[{"identity":{"host":"host-1",'
            '"address":"10.0.0.1:7000","incarnation":"host-1.7"},"fence":3,'
            '"proved":true}]}'
        ),
    ),
    'suspect': (
        msgspec.structs.replace(_EVIDENCE, written_at=1765000000000),
        (
            '{"endpoint_id":"10.0.0.9:8080","boot_id":"i-1/17",'
            '"fingerprint":"f00d","is_crash":true,"written_at":1765000000000}'
        ),
    ),
}
_SHARED = {
    'news': (
        FeedNews(
            'host-1',
            'zone-a',
            is_reader=True,
            tables=[TableNews('servers', 7, 9, 20, [NewsRow('i-1', 9, b'{}')])],
        ),
        encode_news,
        decode_news,
        (
            'c70096a6686f73742d31a67a6f6e652d61c39195a7736572766572730709'
            '149193a3692d3109c4027b7dffff'
        ),
    ),
    'shares': (
        UsageShares(
            'host-1',
            'host-1.7',
            [SharedPart(11, {'loft': 3}, is_final=True, version=5, sequence=2)],
        ),
        encode_usage,
        decode_usage,
        'c89401a6686f73742d31a8686f73742d312e3791950b81a46c6f667403c30502',
    ),
    'written': (
        UsageWritten('host-1.7', [WrittenPart(11, 5, 2)]),
        encode_usage,
        decode_usage,
        'c89302a8686f73742d312e3791930b0502',
    ),
}


class TestFormats:
    """Guards against builds that do not read each other's messages and rows.

    Fields are only appended, with defaults, and never change their place.
    """

    @pytest.mark.parametrize('name', list(_FORMER_ARRAYS))
    def test_former_arrays(self, name: str) -> None:
        """A message of the former build is read, and begins the present one."""
        message, former = _FORMER_ARRAYS[name]
        payload = bytes.fromhex(former)
        assert msgspec.msgpack.decode(payload, type=type(message)) == message
        fields = msgspec.msgpack.decode(payload)
        present = msgspec.msgpack.decode(msgspec.msgpack.encode(message))
        assert extends(present, fields)

    @pytest.mark.parametrize('name', list(_STREAMS))
    def test_streams(self, name: str) -> None:
        """Messages about streams are as the former build sent them."""
        message, former = _STREAMS[name]
        assert encode_message(message).hex() == former
        assert decode_message(bytes.fromhex(former)) == message

    @pytest.mark.parametrize('name', list(_FORMER_ROWS))
    def test_former_rows(self, name: str) -> None:
        """A stored row is read, and the present one has all its fields."""
        row, former = _FORMER_ROWS[name]
        assert msgspec.json.decode(former, type=type(row)) == row
        present = json.loads(msgspec.json.encode(row))
        assert present.items() >= json.loads(former).items()

    @pytest.mark.parametrize('name', list(_SHARED))
    def test_shared_reads(self, name: str) -> None:
        """Messages of the first build that shares reads and usage are read."""
        message, encode, decode, first = _SHARED[name]
        payload = bytes.fromhex(first)
        assert decode(payload) == message
        present = encode(message)
        start = 2 if payload.startswith(FEED_PREFIX) else 1
        assert present[:start] == payload[:start]
        fields = msgspec.msgpack.decode(payload[start:])
        assert extends(msgspec.msgpack.decode(present[start:]), fields)

    def test_further_fields_are_ignored(self) -> None:
        """A message of a later build with more fields is read."""
        fields = msgspec.msgpack.decode(msgspec.msgpack.encode(_UPDATE))
        later = msgspec.msgpack.encode([*fields, 'later'])
        assert msgspec.msgpack.decode(later, type=PeerUpdate) == _UPDATE


def extends(present: object, former: object) -> bool:
    """Return whether arrays have the fields of former ones, or more."""
    if isinstance(former, list):
        return len(present) >= len(former) and all(
            map(extends, present, former)
        )
    return present == former
