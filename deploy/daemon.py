"""Starts the entry daemon from a checkout with its packages in target/."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / 'src'))

from clementinedyke.platform.command import main  # noqa: E402

main()
