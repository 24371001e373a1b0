"""Answers stay whole and with their request, also when engines fail."""

import json
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from http.client import HTTPException, IncompleteRead

import pytest

from process_tools import (
    CHAT,
    DaemonProcess,
    Fleet,
    Process,
    compile_chat,
    compile_engine,
    connect,
    run_fleet,
    wait_for,
)

CALLERS = 12


@dataclass
class Scene:
    """Two daemons before three engines that answer at different speeds."""

    fleet: Fleet
    engines: list[Process]
    daemons: list[DaemonProcess]


@pytest.fixture(scope='class')
def scene() -> Iterator[Scene]:
    """Run the fleet."""
    engines = [
        compile_engine('--token-interval', interval)
        for interval in ('0.02', '0.05', '0.1')
    ]
    with run_fleet(*engines) as fleet:
        fleet.add_endpoints('chat', *fleet.standins)
        daemons = fleet.start_daemons('host-a', 'host-b')
        yield Scene(fleet, fleet.standins, daemons)


@dataclass
class Results:
    """What all callers saw."""

    streams: list[str] = field(default_factory=list)
    whole: list[str] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)
    refused: list[int] = field(default_factory=list)


class TestWholeAnswers:
    """Guards against answers of other requests and silent truncation."""

    def test_engine_killed(self, scene: Scene) -> None:
        """Each answer that ends well is the complete one of its request."""
        results = Results()
        with ThreadPoolExecutor(CALLERS) as pool:
            runs = [
                pool.submit(
                    _run_caller, scene.daemons[index % 2], index, results
                )
                for index in range(CALLERS)
            ]
            wait_for(lambda: len(results.streams) == CALLERS)
            victim = scene.engines[2]
            assert victim.report()['running']
            victim.kill()
            for run in runs:
                run.result()
        assert results.broken
        assert len(results.whole) > CALLERS
        assert set(results.refused) <= {3003, 4000}


def _run_caller(daemon: DaemonProcess, number: int, results: Results) -> None:
    _check_stream(daemon, f'caller{number}.', results)
    connection = connect(daemon.port)
    for index in range(4):
        text = f'caller{number}.whole{index}.'
        count = 3 + (number + index) % 5
        content = compile_chat(text, max_tokens=count)
        try:
            answer = daemon.ask_on(connection, CHAT, content)
        except (OSError, HTTPException):
            results.broken.append(text)
            connection.close()
            continue
        if answer.status == 200:
            choice = answer.body['choices'][0]
            assert choice['message']['content'] == compile_words(text, count)
            results.whole.append(text)
        else:
            results.refused.append(answer.code)
    connection.close()


def _check_stream(daemon: DaemonProcess, text: str, results: Results) -> None:
    response = daemon.open_stream(text, 40)
    results.streams.append(text)
    try:
        body = response.read()
    except (IncompleteRead, OSError):
        results.broken.append(text)
        return
    lines = body.decode().split('\n\n')
    assert lines[-2:] == ['data: [DONE]', '']
    choices = [
        json.loads(line.removeprefix('data: '))['choices'][0]
        for line in lines[:-2]
    ]
    words = ''.join(choice['delta'].get('content', '') for choice in choices)
    assert words == compile_words(text, 40)
    results.whole.append(text)


def compile_words(text: str, count: int) -> str:
    """Return the whole answer of an engine to a message."""
    return ''.join(f'{text}{index} ' for index in range(count))
