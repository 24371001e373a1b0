"""Writes the result tables of a benchmark into its Markdown page."""

import subprocess
from pathlib import Path


def write_page(page: Path, tables: str) -> None:
    """Replace the part of a page between the begin and end comments.

    :param page: Markdown file; created if missing.
    :param tables: Markdown text, put below the commit id.
    """
    commit = subprocess.run(
        ['git', 'rev-parse', '--short', 'HEAD'],
        capture_output=True,
        text=True,
        check=True,
    ).stdout.strip()
    text = page.read_text() if page.exists() else '# Relay benchmark\n'
    head, _, rest = text.partition('<!-- begin -->')
    _, _, tail = rest.partition('<!-- end -->')
    stamp = f'Commit {commit}; no random choices, so no seed.'
    page.write_text(
        f'{head}<!-- begin -->\n{stamp}\n\n{tables}\n<!-- end -->{tail}'
    )
