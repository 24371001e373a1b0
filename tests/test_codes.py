"""Tests of result codes."""

import re
from pathlib import Path

from clementinedyke import codes

_TABLE = Path(__file__).parent.parent / 'docs' / 'result-codes.md'


class TestResultCodes:
    """Guards against result codes without details or documentation."""

    def test_every_code_has_details(self) -> None:
        """A code without details would raise while an error is answered."""
        assert set(codes.DETAILS) == set(codes.ResultCode)

    def test_table_matches_code(self) -> None:
        """The documented table must have the same codes as the enumeration."""
        rows = re.findall(
            r'^\| (\d+) \| `(\w+)` \| (\d+) \| `(\w+)` \|',
            _TABLE.read_text(encoding='utf-8'),
            flags=re.MULTILINE,
        )
        expected = [
            (str(int(code)), code.name, str(row.status), row.execution.value)
            for code, row in codes.DETAILS.items()
        ]
        assert rows == expected
