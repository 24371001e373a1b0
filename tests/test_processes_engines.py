"""Tests of crashing requests and of killed engines."""

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
class Deployment:
    """Two daemons and engines that crash on a marked request."""

    fleet: Fleet
    engines: list[Process]
    daemons: list[DaemonProcess]

    def count_crashes(self) -> int:
        """Return the total number of crashes of all engines."""
        return sum(engine.get_report()['crashes'] for engine in self.engines)


@contextmanager
def run_deployment() -> Iterator[Deployment]:
    """Run two daemons and five engines."""
    flags = ('--crash-marker', MARKER, '--crash-downtime', '0.3')
    engines = [
        compile_engine('--token-interval', interval, *flags)
        for interval in ('0.03', '0.03', '0.04', '0.04', '0.05')
    ]
    with run_fleet(*engines) as fleet:
        fleet.add_endpoints('chat', *fleet.standins)
        daemons = fleet.start_daemons('host-a', 'host-b')
        yield Deployment(fleet, fleet.standins, daemons)


@pytest.fixture(scope='module')
def deployment() -> Iterator[Deployment]:
    """Run a deployment that several tests use."""
    with run_deployment() as running:
        yield running


class TestCrashingRequest:
    """Guards against one request that crashes engine after engine."""

    def test_refused_by_each_daemon(self, deployment: Deployment) -> None:
        """Both daemons refuse it after few crashes, and only this request."""
        before = deployment.count_crashes()
        crashing_text = f'{MARKER} in turn'
        for daemon in deployment.daemons:
            wait_for(partial(_are_all_refusing, [daemon], crashing_text))
        crashes = deployment.count_crashes()
        assert 1 <= crashes - before <= 4
        for asked in deployment.daemons:
            assert asked.chat(crashing_text).code == 2011
            assert asked.chat('another request').status == 200
        assert deployment.count_crashes() == crashes

    def test_concurrent_requests_complete(self, deployment: Deployment) -> None:
        """Other requests are retried and answered despite the crashes."""
        daemon = deployment.daemons[0]
        with run_concurrent_requests([daemon]) as answers:
            wait_for(partial(_are_all_refusing, [daemon], f'{MARKER} beside'))
        assert answers
        assert {answer.status for answer in answers} == {200}

    def test_evidence_is_shared(self, deployment: Deployment) -> None:
        """Shared evidence limits the crashes, and no other request fails."""
        before = deployment.count_crashes()
        crashing_text = f'{MARKER} at once'
        with run_concurrent_requests(deployment.daemons) as answers:
            wait_for(
                partial(_are_all_refusing, deployment.daemons, crashing_text)
            )
        assert deployment.count_crashes() - before <= 3
        assert {answer.status for answer in answers} == {200}


class TestCrashingPart:
    """Guards against engines that crash all day under one message of prompts.

    The chats with it differ in their last message, so that no two are alike.
    """

    def test_message_is_refused(self) -> None:
        """At most eight engines crash, and other chats are answered."""
        with run_deployment() as running:
            for number in range(16):
                daemon = running.daemons[number % 2]
                daemon.chat(
                    messages=[
                        {'role': 'system', 'content': f'{MARKER} in a part'},
                        {'role': 'user', 'content': f'question {number}'},
                    ]
                )
                assert daemon.chat(f'beside {number}').status == 200
            assert running.count_crashes() <= 8


def _are_all_refusing(daemons: list[DaemonProcess], crashing_text: str) -> bool:
    """Send the request to daemons and return whether all refuse it."""
    codes = [daemon.chat(crashing_text).code for daemon in daemons]
    return set(codes) == {2011}


@contextmanager
def run_concurrent_requests(
    daemons: list[DaemonProcess],
) -> Iterator[list[Answer]]:
    """Send other requests meanwhile; the list is filled on exit."""
    stop = Event()
    answers: list[Answer] = []
    with ThreadPoolExecutor(12) as pool:
        runs = [
            pool.submit(_send_until, daemon, name, stop)
            for daemon in daemons
            for name in 'abcdef'
        ]
        try:
            yield answers
        finally:
            stop.set()
        answers.extend(answer for run in runs for answer in run.result())


def _send_until(daemon: DaemonProcess, name: str, stop: Event) -> list[Answer]:
    answers = []
    while not stop.is_set():
        answers.append(daemon.chat(f'{name}{len(answers)}', max_tokens=5))
    return answers


@dataclass
class Results:
    """Results of all callers' requests: texts, or codes if refused."""

    streams: list[str] = field(default_factory=list)
    complete: list[str] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)
    refused: list[int] = field(default_factory=list)


class TestCompleteAnswers:
    """Guards against mixed-up answers and silent truncation."""

    def test_engine_killed(self, deployment: Deployment) -> None:
        """Each answer that ends normally is complete and of its request."""
        results = Results()
        with ThreadPoolExecutor(CALLERS) as pool:
            runs = [
                pool.submit(
                    _run_caller, deployment.daemons[index % 2], index, results
                )
                for index in range(CALLERS)
            ]
            wait_for(lambda: len(results.streams) == CALLERS)
            killed_engine = max(deployment.engines, key=_count_running)
            assert _count_running(killed_engine)
            killed_engine.kill()
            for run in runs:
                run.result()
        assert results.broken
        assert len(results.complete) > CALLERS
        assert set(results.refused) <= {3003, 4000}


def _count_running(engine: Process) -> int:
    return int(engine.get_report()['running'])


def _run_caller(daemon: DaemonProcess, number: int, results: Results) -> None:
    _check_stream(daemon, f'caller{number}.', results)
    connection = connect(daemon.port)
    for index in range(4):
        text = f'caller{number}.whole{index}.'
        count = 3 + (number + index) % 5
        content = compile_chat(text, max_tokens=count)
        try:
            answer = daemon.send_request_on(connection, CHAT, content)
        except (OSError, HTTPException):
            results.broken.append(text)
            connection.close()
            continue
        if answer.status == 200:
            choice = answer.body['choices'][0]
            assert choice['message']['content'] == compile_words(text, count)
            results.complete.append(text)
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
    results.complete.append(text)


def compile_words(text: str, count: int) -> str:
    """Return the complete answer of an engine stand-in to a message."""
    return ''.join(f'{text}{index} ' for index in range(count))
