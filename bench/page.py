"""Writes the result tables of a benchmark into its page."""

import subprocess
from pathlib import Path


def write_page(page: Path, tables: str) -> None:
    """Replace what stands between the marks of a page."""
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
