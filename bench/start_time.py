"""Measures the start-up time of the binary.

Run as ``python -m bench.start_time [BINARY]``. Prints the seconds until
``demo`` prints its ready line and until ``/readyz`` of ``serve`` succeeds, and
the number of child processes at that time.
"""

import json
import os
import socket
import subprocess
import sys
import time
from contextlib import ExitStack
from pathlib import Path
from tempfile import TemporaryDirectory
from urllib import error, request

from bench.relay_state import compile_state

_RUNS = 3
_POLL_SECONDS = 0.01
_TIMEOUT = 60


def start_process(stack: ExitStack, *command: str) -> subprocess.Popen[str]:
    """Start a process.

    :param stack: terminates the process when it closes.
    :param command: command line.
    """
    process = subprocess.Popen(
        command,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    )
    stack.callback(process.wait)
    stack.callback(process.terminate)
    return process


def count_children(pid: int) -> int:
    """Return the number of child processes of all threads of a process."""
    listed = Path('/proc', str(pid), 'task').glob('*/children')
    return sum(len(path.read_text().split()) for path in listed)


def read_line(process: subprocess.Popen[str]) -> str:
    """Return the next line of output, which a process prints when ready."""
    assert process.stdout is not None
    return process.stdout.readline()


def measure_demo(binary: str) -> str:
    """Return a line with start-up time and children of ``demo``."""
    with ExitStack() as stack:
        started = time.monotonic()
        process = start_process(stack, binary, 'demo')
        assert read_line(process)
        return _format_result('demo', started, process.pid)


def measure_serve(binary: str) -> str:
    """Return a line with start-up time and children of ``serve``."""
    with ExitStack() as stack:
        # A daemon without records never becomes ready.
        state = Path(stack.enter_context(TemporaryDirectory()), 'state.json')
        state.write_text(json.dumps(compile_state([])))
        platform = start_process(
            stack, binary, 'standin', 'platform', f'--state={state}'
        )
        address = f'127.0.0.1:{json.loads(read_line(platform))["port"]}'
        operator_port = _find_port()
        started = time.monotonic()
        process = start_process(
            stack,
            binary,
            'serve',
            f'--platform={address}',
            '--port=0',
            '--daemon-port=0',
            f'--operator-port={operator_port}',
        )
        while not _is_ready(operator_port):
            assert time.monotonic() - started < _TIMEOUT
            time.sleep(_POLL_SECONDS)
        return _format_result('serve', started, process.pid)


def _find_port() -> int:
    with socket.create_server(('127.0.0.1', 0)) as free:
        return int(free.getsockname()[1])


def _is_ready(port: int) -> bool:
    try:
        request.urlopen(f'http://127.0.0.1:{port}/readyz', timeout=1)
    except (error.URLError, OSError):
        return False
    return True


def _format_result(name: str, started: float, pid: int) -> str:
    seconds = time.monotonic() - started
    return f'{name}: {seconds:.2f} s, {count_children(pid)} child processes\n'


def main() -> None:
    """Print the size of the binary and the results of several runs."""
    binary = sys.argv[1] if len(sys.argv) > 1 else 'dist/clementinedyke'
    size = Path(binary).stat().st_size
    sys.stdout.write(f'{size} bytes, load {os.getloadavg()}\n')
    for _ in range(_RUNS):
        sys.stdout.write(measure_demo(binary))
        sys.stdout.write(measure_serve(binary))


if __name__ == '__main__':
    main()
