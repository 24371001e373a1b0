"""Reading and validation of record files."""

import json
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from clementinedyke.exceptions import RecordError
from clementinedyke.operators.references import check_put
from clementinedyke.records.core import Record, parse_record


def read_records(path: str) -> list[dict[str, Any]]:
    """Return the records of a JSON file with one record or a list.

    :param path: path of the file, or ``-`` for standard input.
    :raises RecordError: if the file cannot be read or contains anything else.
    """
    try:
        content = json.loads(_read_text(path))
    except (OSError, ValueError, RecursionError) as error:
        raise RecordError(f'cannot read file {path!r} as JSON') from error
    records = content if isinstance(content, list) else [content]
    if not all(isinstance(record, dict) for record in records):
        raise RecordError(
            f'file {path!r} must contain a JSON object or a list of objects'
        )
    return records


def get_key(content: dict[str, Any]) -> str:
    """Return the row key of a record.

    :param content: JSON object of the record.
    :raises RecordError: if the record does not match its schema.
    """
    return f'{content.get("kind")}/{parse_record(content).name}'


def check_files(paths: Sequence[Path]) -> int:
    """Validate record files as one set and return the number of records.

    :param paths: paths of JSON files.
    :raises RecordError: at the first invalid or repeated record.
    """
    records: dict[str, Record] = {}
    for path in paths:
        for content in read_records(str(path)):
            key = get_key(content)
            if key in records:
                raise RecordError(f'record {key!r} is given twice')
            records[key] = parse_record(content)
    for checked, record in records.items():
        others = {key: records[key] for key in records if key != checked}
        check_put(record, others)
    return len(records)


def _read_text(path: str) -> str:
    if path == '-':
        return sys.stdin.read()
    return Path(path).read_text(encoding='utf-8')
