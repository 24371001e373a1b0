"""Output of commands as a text table or as JSON."""

import json
import sys
from collections.abc import Mapping, Sequence
from typing import Any


def print_json(content: Any) -> None:
    """Print a JSON document on one line.

    :param content: JSON-serialisable data.
    """
    sys.stdout.write(f'{json.dumps(content, sort_keys=True)}\n')


def print_table(
    columns: Sequence[str], rows: Sequence[Mapping[str, Any]]
) -> None:
    """Print a text table with a header line.

    :param columns: names of the fields to print, in order.
    :param rows: rows of the table; a missing field is printed as null.
    """
    lines = [[column.upper() for column in columns]]
    for row in rows:
        lines.append([_format_cell(row.get(column)) for column in columns])
    widths = [
        max(len(text) for text in texts) for texts in zip(*lines, strict=True)
    ]
    for line in lines:
        cells = zip(line, widths, strict=True)
        padded = '  '.join(text.ljust(width) for text, width in cells)
        sys.stdout.write(f'{padded.rstrip()}\n')


def print_fields(content: Mapping[str, Any]) -> None:
    """Print a JSON object as a table of fields and values.

    :param content: JSON object.
    """
    rows = [{'field': key, 'value': content[key]} for key in content]
    print_table(('field', 'value'), rows)


def _format_cell(content: Any) -> str:
    if isinstance(content, str):
        return content
    return json.dumps(content, sort_keys=True)
