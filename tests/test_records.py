"""Tests of record schemas, their upgrade and checks between records."""

import json
from pathlib import Path
from typing import Any

import pytest

from clementinedyke.exceptions import RecordError
from clementinedyke.operators.record_files import check_files
from clementinedyke.records.core import ServiceRecord, parse_record
from clementinedyke.records.directory import Directory

_DIGEST = 'a' * 64
_SERVICE = {'kind': 'service', 'name': 's', 'backend': 'model'}
_KEY = {'kind': 'key', 'name': 'k', 'customer': 'c', 'digest': _DIGEST}


class TestSchemas:
    """Guards against records that mean something else after an upgrade."""

    def test_version_1_is_upgraded(self) -> None:
        """Old rows go on working with the defaults of version 2."""
        old = parse_record({**_SERVICE, 'schema_version': 1})
        new = parse_record({**_SERVICE, 'schema_version': 2})
        assert old == new == ServiceRecord(name='s', backend='model')

    @pytest.mark.parametrize(
        ('content', 'parts'),
        [
            ([], ['JSON object']),
            ({'kind': 'servce'}, ['kind', 'servce', 'customer']),
            ({**_SERVICE, 'schema_version': 3}, ['schema_version', '3', '1']),
            ({**_SERVICE, 'schema_version': True}, ['schema_version', 'True']),
            ({**_SERVICE, 'schema_version': []}, ['schema_version', '[]']),
            ({**_SERVICE, 'deadline': 5}, ['deadline', '5', 'not permitted']),
            (
                {**_SERVICE, 'schema_version': 2, 'deadline': 0},
                ['deadline', '0', 'greater than or equal to 1'],
            ),
            ({'kind': 'service', 'name': 's'}, ['backend', 'missing']),
            ({'kind': 'death', 'name': 'd'}, ['schema_version', '1', '2']),
        ],
    )
    def test_refusal_names_field(self, content: Any, parts: list[str]) -> None:
        """A refusal names the field, its value and what is allowed."""
        with pytest.raises(RecordError) as caught:
            parse_record(content)
        assert all(part in str(caught.value) for part in parts)

    @pytest.mark.parametrize('field', ['secret', 'digest'])
    def test_secret_is_not_repeated(self, field: str) -> None:
        """A secret pasted into a key record is not shown in the refusal."""
        with pytest.raises(RecordError) as caught:
            parse_record({**_KEY, field: 'my-secret'})
        assert 'my-secret' not in str(caught.value)

    def test_directory_indexes_all_kinds(self) -> None:
        """A kind that is not indexed would be accepted without effect."""
        death = {
            'kind': 'death',
            'schema_version': 2,
            'name': 'd',
            'host_id': 'h',
            'incarnation': '7',
            'confirmed_by': 'me',
        }
        capacity = {
            'kind': 'capacity',
            'name': 'z',
            'service': 's',
            'availability_zone': 'a',
        }
        customer = {'kind': 'customer', 'name': 'c'}
        written = (_SERVICE, _KEY, death, capacity, customer)
        directory = Directory.compile(
            1, [parse_record(content) for content in written]
        )
        assert directory.deaths['d'].incarnation == '7'
        assert directory.capacities['z'].cheap_maximum == 0
        assert directory.get_key(_DIGEST) is not None
        assert set(directory.customers) == {'c'}
        assert set(directory.services) == {'s'}


class TestReferences:
    """Guards against records that contradict one another."""

    @pytest.mark.parametrize(
        ('contents', 'reason'),
        [
            ([_KEY], 'customer'),
            (
                [
                    {'kind': 'customer', 'name': 'c'},
                    _KEY,
                    {**_KEY, 'name': 'k2'},
                ],
                'digest',
            ),
            (
                [
                    {**_SERVICE, 'models': ['m']},
                    {**_SERVICE, 'name': 's2', 'models': ['m']},
                ],
                "'m'",
            ),
            ([_SERVICE, _SERVICE], 'given twice'),
        ],
    )
    def test_refused(
        self, tmp_path: Path, contents: list[Any], reason: str
    ) -> None:
        """The check of files refuses what a daemon would refuse."""
        path = tmp_path / 'records.json'
        path.write_text(json.dumps(contents))
        with pytest.raises(RecordError, match=reason):
            check_files([path])
