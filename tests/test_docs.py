"""Tests that pages follow the code."""

from pathlib import Path

from bench.module_page import compile_page

_DOCS = Path(__file__).parent.parent / 'docs'


class TestModulePage:
    """Guards against a map of the code that newcomers cannot trust."""

    def test_page_is_current(self) -> None:
        """Each module stands on the page with its present summary."""
        page = (_DOCS / 'modules.md').read_text(encoding='utf-8')
        assert page == compile_page()
