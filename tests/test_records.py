"""Tests of record schemas, version upgrades and references."""

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
    """Guards against invalid records and changed meaning of old ones."""

    def test_version_1_is_upgraded(self) -> None:
        """A version 1 record gets the defaults of version 2."""
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
    def test_error_names_field(self, content: Any, parts: list[str]) -> None:
        """The error names the field, its value and what is allowed."""
        with pytest.raises(RecordError) as caught:
            parse_record(content)
        assert all(part in str(caught.value) for part in parts)

    @pytest.mark.parametrize('field', ['secret', 'digest'])
    def test_error_hides_secret(self, field: str) -> None:
        """The error does not contain a secret pasted into a key record."""
        with pytest.raises(RecordError) as caught:
            parse_record({**_KEY, field: 'my-secret'})
        assert 'my-secret' not in str(caught.value)

    def test_directory_indexes_all_kinds(self) -> None:
        """Every kind is indexed; otherwise its records have no effect."""
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
    """Guards against unknown references and duplicates between records."""

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
    def test_inconsistent_records_rejected(
        self, tmp_path: Path, contents: list[Any], reason: str
    ) -> None:
        """The file check rejects records that a daemon would reject."""
        path = tmp_path / 'records.json'
        path.write_text(json.dumps(contents))
        with pytest.raises(RecordError, match=reason):
            check_files([path])
