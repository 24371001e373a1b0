"""Output of commands as a table for people or JSON for programs."""

import json
import sys
from collections.abc import Mapping, Sequence
from typing import Any


def print_json(content: Any) -> None:
    """Print one JSON document.

    :param content: JSON-serialisable data.
    """
    sys.stdout.write(f'{json.dumps(content, sort_keys=True)}\n')


def print_table(
    columns: Sequence[str], rows: Sequence[Mapping[str, Any]]
) -> None:
    """Print rows below a line of column names.

    :param columns: fields of the rows in order.
    :param rows: data of the table.
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
    """Print an object as a table of fields and values.

    :param content: fields of the object.
    """
    rows = [{'field': key, 'value': content[key]} for key in content]
    print_table(('field', 'value'), rows)


def _format_cell(content: Any) -> str:
    if isinstance(content, str):
        return content
    return json.dumps(content, sort_keys=True)
