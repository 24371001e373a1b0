"""Tests that generated pages match the code."""

from pathlib import Path

from bench.module_page import compile_page

_DOCS = Path(__file__).parent.parent / 'docs'


class TestModulePage:
    """Guards against an outdated page of modules."""

    def test_page_is_current(self) -> None:
        """The page must list each module with its current summary."""
        page = (_DOCS / 'modules.md').read_text(encoding='utf-8')
        assert page == compile_page()
