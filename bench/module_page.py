"""Generates docs/modules.md from the first docstring line of each module."""

import ast
from pathlib import Path

_ROOT = Path(__file__).parent.parent
_PACKAGE = _ROOT / 'src' / 'clementinedyke'
_PAGE = _ROOT / 'docs' / 'modules.md'
_HEAD = """# Modules

Flat modules hold the decision cores and what they share; `*_component` runs a
core on trio; each package is a peer. Written by `python -m bench.module_page`.
"""


def compile_page() -> str:
    """Return the Markdown text of the page."""
    parts = [_HEAD, _compile_table('clementinedyke', _PACKAGE)]
    packages = sorted(path.parent for path in _PACKAGE.glob('*/__init__.py'))
    parts += [
        _compile_table(f'clementinedyke.{package.name}', package)
        for package in packages
    ]
    return '\n'.join(parts)


def main() -> None:
    """Write the page."""
    _PAGE.write_text(compile_page(), encoding='utf-8')


def _compile_table(title: str, folder: Path) -> str:
    rows = [
        f'| `{path.stem}` | {_get_summary(path)} |'
        for path in sorted(folder.glob('*.py'))
        if not path.stem.startswith('_')
    ]
    init = _get_summary(folder / '__init__.py')
    head = [f'## {title}', '', init, '', '| module | |', '| --- | --- |']
    return '\n'.join([*head, *rows, ''])


def _get_summary(path: Path) -> str:
    docstring = ast.get_docstring(ast.parse(path.read_text('utf-8'))) or ''
    return docstring.partition('\n')[0]


if __name__ == '__main__':
    main()
