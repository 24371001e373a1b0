"""Fixtures shared by all tests."""

import json
import signal
import subprocess
import sys
from collections.abc import Iterator

import pytest
from hypothesis import settings

settings.register_profile(
    'fixed', derandomize=True, deadline=None, database=None
)
settings.load_profile('fixed')


@pytest.fixture(scope='session')
def demo() -> Iterator[dict[str, str]]:
    """Run ``clementinedyke demo`` in a process; give its ready line."""
    process = subprocess.Popen(
        [sys.executable, '-m', 'clementinedyke', 'demo'],
        stdout=subprocess.PIPE,
        text=True,
    )
    assert process.stdout is not None
    yield json.loads(process.stdout.readline())
    process.send_signal(signal.SIGTERM)
    assert process.wait(timeout=30) == 0
