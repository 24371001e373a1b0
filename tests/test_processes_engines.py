"""Engines that crash or are killed: refused killers and whole answers."""

import json
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass, field
from functools import partial
from http.client import HTTPException, IncompleteRead
from threading import Event

import pytest

from process_tools import (
    CHAT,
    Answer,
    DaemonProcess,
    Fleet,
    Process,
    compile_chat,
    compile_engine,
    connect,
    run_fleet,
    wait_for,
)

MARKER = 'crash-the-engine'
CALLERS = 12


@dataclass
class Scene:
    """Two daemons before engines that a marked request crashes."""

    fleet: Fleet
    engines: list[Process]
    daemons: list[DaemonProcess]

    def count_crashes(self) -> int:
        """Return the crashes of all engines that are up."""
        return sum(engine.report()['crashes'] for engine in self.engines)


@pytest.fixture(scope='module')
def scene() -> Iterator[Scene]:
    """Run the fleet."""
    flags = ('--crash-marker', MARKER, '--crash-downtime', '0.3')
    engines = [
        compile_engine('--token-interval', interval, *flags)
        for interval in ('0.03', '0.03', '0.04', '0.04', '0.05')
    ]
    with run_fleet(*engines) as fleet:
        fleet.add_endpoints('chat', *fleet.standins)
        daemons = fleet.start_daemons('host-a', 'host-b')
        yield Scene(fleet, fleet.standins, daemons)


class TestCrashingRequest:
    """Guards against one request that takes down engine after engine."""

    def test_one_daemon_then_other(self, scene: Scene) -> None:
        """Each daemon refuses it soon; the customer's other work goes on."""
        before = scene.count_crashes()
        killer = f'{MARKER} in turn'
        for daemon in scene.daemons:
            wait_for(partial(_are_convicted, [daemon], killer))
        crashes = scene.count_crashes()
        assert 1 <= crashes - before <= 4
        for asked in scene.daemons:
            assert asked.chat(killer).code == 2011
            assert asked.chat('another request').status == 200
        assert scene.count_crashes() == crashes

    def test_bystanders(self, scene: Scene) -> None:
        """Repeatable requests beside the killer get whole answers."""
        daemon = scene.daemons[0]
        with run_bystanders([daemon]) as answers:
            wait_for(partial(_are_convicted, [daemon], f'{MARKER} beside'))
        assert answers
        assert {answer.status for answer in answers} == {200}

    def test_both_daemons_at_once(self, scene: Scene) -> None:
        """Daemons share evidence: few losses, and no bystander is blamed."""
        before = scene.count_crashes()
        killer = f'{MARKER} at once'
        with run_bystanders(scene.daemons) as answers:
            wait_for(partial(_are_convicted, scene.daemons, killer))
        assert scene.count_crashes() - before <= 3
        assert {answer.status for answer in answers} == {200}


def _are_convicted(daemons: list[DaemonProcess], killer: str) -> bool:
    """Send the killer through daemons; tell whether all have convicted it."""
    codes = [daemon.chat(killer).code for daemon in daemons]
    return set(codes) == {2011}


@contextmanager
def run_bystanders(daemons: list[DaemonProcess]) -> Iterator[list[Answer]]:
    """Run other requests of the customer; the list is filled at the end."""
    stop = Event()
    answers: list[Answer] = []
    with ThreadPoolExecutor(12) as pool:
        runs = [
            pool.submit(_run_bystander, daemon, name, stop)
            for daemon in daemons
            for name in 'abcdef'
        ]
        try:
            yield answers
        finally:
            stop.set()
        answers.extend(answer for run in runs for answer in run.result())


def _run_bystander(
    daemon: DaemonProcess, name: str, stop: Event
) -> list[Answer]:
    answers = []
    while not stop.is_set():
        answers.append(daemon.chat(f'{name}{len(answers)}', max_tokens=5))
    return answers


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
            victim = max(scene.engines, key=_count_running)
            assert _count_running(victim)
            victim.kill()
            for run in runs:
                run.result()
        assert results.broken
        assert len(results.whole) > CALLERS
        assert set(results.refused) <= {3003, 4000}


def _count_running(engine: Process) -> int:
    return int(engine.report()['running'])


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
