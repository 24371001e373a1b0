"""Soak of entry daemons as processes, with drills of the store.

Run ``python -m tests.drill_soak --seeds 1 2 3 --seconds 60``. A run is drawn
from its seed before it begins; disturbances overlap.
"""

import argparse
import json
import signal
import sys
import tempfile
from dataclasses import asdict, dataclass, field
from pathlib import Path
from random import Random

import trio
from tests.entry_environment import CONFIGURATION, EntryEnvironment
from tests.entry_processes import DaemonProcess, killing

from clementinedyke.exceptions import ClementinedykeError

_DAEMONS = 4
_CALLERS_PER_DAEMON = 2
_PAUSE_SECONDS = 0.05
#: Time until all daemons serve and the first windows have ended, in seconds.
_SETTLE_SECONDS = 8
#: Time after the last disturbance in which reports may still come.
_WATCH_SECONDS = 14
_GRACE_SECONDS = 12
#: Time in which an interpreter starts beside load.
_START_SECONDS = 0.3
#: Lowest and highest time between two disturbances of a kind, in seconds.
_INTERVALS = {
    'drill': (5, 9),
    'terminate': (7, 15),
    'kill': (12, 25),
    'freeze': (8, 16),
    'reload': (1, 4),
}


@dataclass(frozen=True)
class Disturbance:
    """A disturbance at a time in seconds after the settling time.

    ``duration`` is the age of the copy, or the time of a freeze. ``pause`` is
    the time that the store is away, or until a daemon is started again.
    """

    at: float
    kind: str
    daemon: int
    duration: float
    pause: float


@dataclass
class SoakReport:
    """Result of a run; ``broken`` has a line for each broken rule."""

    seed: int
    disturbances: int = 0
    answers: dict[str, int] = field(default_factory=dict)
    windows: int = 0
    reported: int = 0
    broken: list[str] = field(default_factory=list)


def draw_disturbances(seed: int, seconds: float) -> list[Disturbance]:
    """Return the disturbances of a run in the order of their times."""
    generator = Random(seed)
    drawn = []
    for kind, bounds in _INTERVALS.items():
        at = generator.uniform(0, bounds[1])
        while at < seconds:
            drawn.append(
                Disturbance(
                    at,
                    kind,
                    generator.randrange(_DAEMONS),
                    generator.uniform(0.5, 5),
                    generator.uniform(0.2, 1),
                )
            )
            at += generator.uniform(*bounds)
    return sorted(drawn, key=lambda item: item.at)


class DrillSoak:
    """One run of the soak."""

    def __init__(self, seed: int, seconds: float, folder: Path) -> None:
        """Create a run that has not begun."""
        self._disturbances = draw_disturbances(seed, seconds)
        self._seconds = seconds
        self._hosts = [
            DaemonProcess(number, folder) for number in range(_DAEMONS)
        ]
        #: Daemons that a disturbance has stopped and not started yet.
        self._stopped: set[int] = set()
        #: Daemons whose interpreter may not have run their program yet.
        self._starting: set[int] = set()
        self.report = SoakReport(seed, len(self._disturbances))

    async def run(self) -> SoakReport:
        """Run daemons, callers and disturbances, then check the reports."""
        async with trio.open_nursery() as nursery:
            env = EntryEnvironment(nursery)
            await env.start()
            self._env = env
            env.store.put('op', 'config', CONFIGURATION)
            with killing(self._hosts):
                await self._play(nursery)
            nursery.cancel_scope.cancel()
        self._check_reports()
        return self.report

    async def _play(self, nursery: trio.Nursery) -> None:
        for host in self._hosts:
            host.start(self._env)
        for started in self._hosts:
            await started.wait_until_served()
        for number in range(_DAEMONS * _CALLERS_PER_DAEMON):
            nursery.start_soon(self._call, number)
        nursery.start_soon(self._watch_processes)
        await trio.sleep(_SETTLE_SECONDS)
        begun_at = trio.current_time()
        async with trio.open_nursery() as troubles:
            for item in self._disturbances:
                await trio.sleep_until(begun_at + item.at)
                troubles.start_soon(self._disturb, item)
        await trio.sleep(_WATCH_SECONDS)

    async def _disturb(self, item: Disturbance) -> None:
        if item.kind == 'drill':
            await self._play_drill(item)
        elif item.kind == 'reload':
            # Also in a drain, but not before the first statement of a program.
            if item.daemon not in self._starting:
                self._hosts[item.daemon].send_signal(signal.SIGHUP)
        elif item.daemon not in self._stopped:
            await self._disturb_daemon(item)

    async def _disturb_daemon(self, item: Disturbance) -> None:
        host = self._hosts[item.daemon]
        if item.kind == 'freeze':
            host.send_signal(signal.SIGSTOP)
            await trio.sleep(item.duration)
            host.send_signal(signal.SIGCONT)
            return
        self._stopped.add(item.daemon)
        host.send_signal(signal.SIGCONT)
        is_kill = item.kind == 'kill'
        host.send_signal(signal.SIGKILL if is_kill else signal.SIGTERM)
        await self._wait_for_end(host, item)
        await trio.sleep(item.pause)
        await self._start_again(item.daemon)

    async def _start_again(self, number: int) -> None:
        host = self._hosts[number]
        self._starting.add(number)
        host.start(self._env)
        await trio.sleep(_START_SECONDS)
        self._starting.discard(number)
        await host.wait_until_served()
        self._stopped.discard(number)

    async def _wait_for_end(
        self, host: DaemonProcess, item: Disturbance
    ) -> None:
        with trio.move_on_after(_GRACE_SECONDS):
            while host.get_exit_status() is None:
                await trio.sleep(0.05)
        expected = -signal.SIGKILL if item.kind == 'kill' else 0
        status = host.get_exit_status()
        if status != expected:
            self.report.broken.append(
                f'daemon {item.daemon}: status {status} after {item.kind}'
            )
            host.kill()

    async def _play_drill(self, item: Disturbance) -> None:
        store = self._env.store
        copy = store.copy()
        await trio.sleep(item.duration)
        store.refusal_status = 503
        await trio.sleep(item.pause)
        if copy.version <= store.version:
            store.return_from(copy)
        # The operator and the endpoints write again what they wrote.
        store.put('op', 'config', CONFIGURATION)
        for endpoint in self._env.endpoints.values():
            self._env.register(endpoint)
        store.refusal_status = 0

    async def _call(self, number: int) -> None:
        """Send requests of two kinds through one daemon."""
        host = self._hosts[number % _DAEMONS]
        count = 0
        while True:
            count += 1
            path = '/read/1' if count % 2 else '/book/1'
            try:
                code = await host.send(f'c{number}-{count}', b'body', path)
            except ClementinedykeError as error:
                code = type(error).__name__
            answers = self.report.answers
            answers[str(code)] = answers.get(str(code), 0) + 1
            await trio.sleep(_PAUSE_SECONDS)

    async def _watch_processes(self) -> None:
        """Record daemons that end by themselves."""
        while True:
            await trio.sleep(0.2)
            for number, host in enumerate(self._hosts):
                status = host.get_exit_status()
                if status is None or number in self._stopped:
                    continue
                self._stopped.add(number)
                self.report.broken.append(
                    f'daemon {number} has ended by itself, status {status}'
                )

    def _check_reports(self) -> None:
        """Check that each window has one figure and each fence one holder."""
        figures: dict[int, list[str]] = {}
        holders: dict[int, set[str]] = {}
        duties = self._env.duties
        for (path, body), (holder, fence) in zip(
            duties.calls, duties.authorities, strict=True
        ):
            holders.setdefault(fence, set()).add(holder)
            if path == '/usage':
                counts = json.dumps(body['counts'], sort_keys=True)
                line = f'{counts} of {holder}, fence {fence}'
                figures.setdefault(body['window'], []).append(line)
        for window, lines in sorted(figures.items()):
            if len({line.partition(' of ')[0] for line in lines}) > 1:
                self.report.broken.append(f'ONE: window {window}: {lines}')
        for fence, names in holders.items():
            if len(names) > 1:
                self.report.broken.append(f'ONE: fence {fence}: {names}')
        self.report.reported = len(figures)
        self.report.windows = max(figures) - min(figures) + 1 if figures else 0


def run_soak(seed: int, seconds: float) -> SoakReport:
    """Run the soak and return its report.

    :param seed: seed of the disturbances.
    :param seconds: time in which they begin.
    """
    with tempfile.TemporaryDirectory() as folder:
        return trio.run(DrillSoak(seed, seconds, Path(folder)).run)


def _main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, nargs='+', default=[1])
    parser.add_argument('--seconds', type=float, default=35)
    given = parser.parse_args()
    is_broken = False
    for seed in given.seeds:
        report = run_soak(seed, given.seconds)
        is_broken = is_broken or bool(report.broken)
        sys.stdout.write(f'{json.dumps(asdict(report))}\n')
        sys.stdout.flush()
    return int(is_broken)


if __name__ == '__main__':
    sys.exit(_main())
