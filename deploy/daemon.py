"""Starts the entry daemon from a checkout with its packages in target/."""

import signal

# Imports take half a second, in which the default action of these signals would
# end the process. They stay pending until the daemon handles them.
signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM, signal.SIGHUP})

import sys  # noqa: E402
from pathlib import Path  # noqa: E402

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / 'src'))

from clementinedyke.platform.command import main  # noqa: E402

main()
