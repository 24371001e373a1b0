"""Tests of the detection of requests that crash endpoints."""

from dataclasses import dataclass, field
from random import Random

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from caller_tools import KEY, StaticConfiguration
from clementinedyke.callers.routing import select_route
from clementinedyke.http.message import ServerRequest
from clementinedyke.quarantine.core import (
    EndpointAnswered,
    EndpointLost,
    Evidence,
    EvidenceReceived,
    QuarantineCore,
    QuarantineSettings,
    RequestEnded,
    RequestStarted,
    ShareEvidence,
    Verdict,
)

#: Fingerprint of the request that crashes each engine that runs it.
_CRASHING = 'killer'
_DAEMONS = 3
_ENGINES = 4
#: Maximum delay of evidence in ms; must be below the settle time.
_EVIDENCE_DELAY = 1000
_REFUSED = {Verdict.HELD, Verdict.CONVICTED}
_daemons = st.integers(0, _DAEMONS - 1)
_engines = st.integers(0, _ENGINES - 1)


@dataclass
class Fleet:
    """Quarantine cores of several daemons and engines that can crash."""

    now: int = 0
    count: int = 0
    crashes: int = 0
    boots: list[int] = field(
        default_factory=lambda: [0 for _ in range(_ENGINES)]
    )
    running: dict[str, tuple[int, int, str]] = field(default_factory=dict)
    undelivered: list[ShareEvidence] = field(default_factory=list)
    cores: list[QuarantineCore] = field(
        default_factory=lambda: [
            QuarantineCore(QuarantineSettings()) for _ in range(_DAEMONS)
        ]
    )

    def handle_event(self, daemon: int, event: object) -> None:
        """Pass an event to a core and collect the evidence that it shares."""
        self.undelivered += self.cores[daemon].handle(event, self.now)

    def deliver(self) -> None:
        """Deliver all shared evidence to all daemons."""
        while self.undelivered:
            evidence = self.undelivered.pop(0).evidence
            for core in self.cores:
                core.handle(EvidenceReceived(evidence), self.now)

    def send(self, daemon: int, engine: int, fingerprint: str) -> Verdict:
        """Run a request on an engine if the quarantine allows it."""
        core = self.cores[daemon]
        verdict = core.get_verdict(fingerprint, self.now)
        is_shared = core.can_run_suspect(f'engine-{engine}', fingerprint)
        is_held = core.get_remaining_hold_time(fingerprint, self.now) > 0
        if verdict in _REFUSED or is_held or not is_shared:
            return verdict
        self.count += 1
        request_id = f'request-{self.count}'
        self.running[request_id] = (daemon, engine, fingerprint)
        event = RequestStarted(request_id, fingerprint, f'engine-{engine}')
        self.handle_event(daemon, event)
        return verdict

    def disconnect(self, engine: int, *, is_crash: bool) -> None:
        """Break all connections of an engine, with or without a crash."""
        lost = [key for key, run in self.running.items() if run[1] == engine]
        boot = self.boots[engine]
        owners = sorted({self.running[key][0] for key in lost})
        for daemon in owners:
            event = EndpointLost(f'engine-{engine}', f'boot-{boot}')
            self.handle_event(daemon, event)
        for request_id in lost:
            owner = self.running.pop(request_id)[0]
            self.handle_event(
                owner, RequestEnded(request_id, is_complete=False)
            )
        self.boots[engine] += int(is_crash)
        self.crashes += int(is_crash)

    def read_boot_id(self, engine: int) -> None:
        """Report the current boot id of an engine to all daemons."""
        boot = f'boot-{self.boots[engine]}'
        for daemon in range(_DAEMONS):
            seen = EndpointAnswered(f'engine-{engine}', boot, self.now)
            self.handle_event(daemon, seen)

    def run_engines(self) -> None:
        """Crash engines that run the crashing request; finish the others."""
        crashing = {
            run[1] for run in self.running.values() if run[2] == _CRASHING
        }
        for engine in crashing:
            self.disconnect(engine, is_crash=True)
            self.read_boot_id(engine)
        for request_id in list(self.running):
            daemon = self.running.pop(request_id)[0]
            self.handle_event(
                daemon, RequestEnded(request_id, is_complete=True)
            )


class QuarantineMachine(RuleBasedStateMachine):
    """A crashing request and others with late evidence and cuts."""

    def __init__(self) -> None:
        """Create a fleet without requests."""
        super().__init__()
        self.fleet = Fleet()
        self.delivered_at = 0

    @rule(daemon=_daemons, engine=_engines, other=st.integers(0, 5))
    def send_other(self, daemon: int, engine: int, other: int) -> None:
        """Send a harmless request."""
        self.fleet.send(daemon, engine, f'other-{other}')

    @rule(daemon=_daemons, engine=_engines)
    def send_killer(self, daemon: int, engine: int) -> None:
        """Send the crashing request, possibly again."""
        self.fleet.send(daemon, engine, _CRASHING)

    @rule()
    def run_engines(self) -> None:
        """Let engines crash or finish their requests."""
        self.fleet.run_engines()

    @rule()
    def deliver(self) -> None:
        """Deliver the pending evidence."""
        self.delivered_at = self.fleet.now
        self.fleet.deliver()

    @rule(engine=_engines)
    def cut(self, engine: int) -> None:
        """Break the connections of an engine that keeps running."""
        self.fleet.disconnect(engine, is_crash=False)
        self.fleet.read_boot_id(engine)

    @rule(duration=st.sampled_from([100, 2000]))
    def pass_time(self, duration: int) -> None:
        """Advance the time; evidence is never delayed beyond the maximum."""
        if self.fleet.now + duration > self.delivered_at + _EVIDENCE_DELAY:
            self.deliver()
        self.fleet.now += duration

    @invariant()
    def others_are_never_convicted(self) -> None:
        """Requests beside the crashing one are never convicted."""
        for core in self.fleet.cores:
            for other in range(6):
                verdict = core.get_verdict(f'other-{other}', self.fleet.now)
                assert verdict is not Verdict.CONVICTED


class TestHarmlessRequests:
    """Guards against convicting requests that ran beside a crashing one."""

    def test_never_convicted(self) -> None:
        """No order of crashes, cuts and late evidence convicts the others."""
        run_state_machine_as_test(
            QuarantineMachine,
            settings=settings(
                max_examples=100,
                stateful_step_count=40,
                phases=(Phase.generate,),
            ),
        )


class TestCrashingRequest:
    """Guards against a request that keeps crashing engines."""

    def test_third_attempt_at_other_daemon_is_refused(self) -> None:
        """After two crashes a daemon that never ran the request refuses it."""
        fleet = Fleet()
        for daemon in range(2):
            fleet.send(daemon, daemon, _CRASHING)
            fleet.send(daemon, daemon, f'other-{daemon}')
            fleet.run_engines()
            fleet.deliver()
            assert fleet.send(2, 3, _CRASHING) is not Verdict.CLEAR
            assert not fleet.running
            fleet.now += 2000
        assert fleet.send(2, 3, _CRASHING) is Verdict.CONVICTED
        assert fleet.crashes == 2

    def test_suspects_do_not_share_an_engine(self) -> None:
        """A crash with two suspects in flight would not show the cause."""
        fleet = Fleet()
        fleet.send(0, 0, _CRASHING)
        fleet.send(0, 0, 'other-0')
        fleet.run_engines()
        fleet.now += 2000
        fleet.send(0, 1, _CRASHING)
        assert not fleet.cores[0].can_run_suspect('engine-1', 'other-0')

    def test_retries_by_several_daemons_limit_crashes(self) -> None:
        """Daemons that retry suspects together crash at most 3 engines."""
        generator = Random(4)
        for _ in range(200):
            fleet = Fleet()
            tries = ((0, _CRASHING), (1, 'other-1'), (2, 'other-2'))
            for daemon, fingerprint in tries:
                fleet.send(daemon, 0, fingerprint)
            retry_until_refused(fleet, generator)
            assert fleet.crashes <= 3

    def test_older_loss_does_not_change_assignment(self) -> None:
        """Daemons assign the same engines if only one knows an older loss."""
        cores = [QuarantineCore(QuarantineSettings()) for _ in range(2)]
        older = Evidence('engine-0', 'boot', 'other', is_crash=True)
        cores[1].handle(EvidenceReceived((older,)), 0)
        newer = tuple(
            Evidence('engine-3', 'boot', name, is_crash=True)
            for name in ('other', _CRASHING)
        )
        for core in cores:
            core.handle(EvidenceReceived(newer), 10)
        engines = {f'engine-{number}' for number in range(_ENGINES)}
        allowed = engines - cores[0].list_excluded_endpoints(
            _CRASHING, engines, 2000
        )
        assert allowed
        assert not allowed - cores[1].list_excluded_endpoints(
            'other', engines, 2000
        )

    def test_suspects_take_turns_at_engines(self) -> None:
        """In one turn, no two suspects may be assigned the same engine."""
        core = QuarantineCore(QuarantineSettings())
        names = [f'other-{number}' for number in range(7)]
        evidence = tuple(
            Evidence('engine-3', 'boot', name, is_crash=True) for name in names
        )
        core.handle(EvidenceReceived(evidence), 0)
        engines = {f'engine-{number}' for number in range(_ENGINES)}
        for now in (1600, 3100, 4600):
            allowed_engines = [
                sorted(
                    engines - core.list_excluded_endpoints(name, engines, now)
                )
                for name in names
            ]
            if now < 3000:
                first = [item for items in allowed_engines for item in items]
                assert len(first) == len(set(first)) == 3
        assert all(allowed_engines)

    def test_request_beside_two_crashing_requests(self) -> None:
        """A request in flight in crashes by two others is not convicted.

        This daemon has no record that the request completed in between, at
        another daemon.
        """
        core = QuarantineCore(QuarantineSettings())
        losses = (
            ('engine-0', (_CRASHING, 'other')),
            ('engine-1', (_CRASHING,)),
            ('engine-2', ('second killer', 'other', 'third')),
        )
        for now, (engine, running) in enumerate(losses):
            evidence = tuple(
                Evidence(engine, 'boot', name, is_crash=True)
                for name in running
            )
            core.handle(EvidenceReceived(evidence), now)
        assert core.get_verdict('other', 10000) is Verdict.SUSPECT
        assert core.get_verdict(_CRASHING, 10000) is Verdict.CONVICTED

    def test_state_requested_before_loss_is_ignored(self) -> None:
        """An answer requested before a crash must not discard the evidence."""
        fleet = Fleet(now=100)
        fleet.send(0, 0, _CRASHING)
        fleet.disconnect(0, is_crash=True)
        fleet.handle_event(0, EndpointAnswered('engine-0', 'boot-0', 90))
        verdict = fleet.cores[0].get_verdict(_CRASHING, fleet.now)
        assert verdict is Verdict.SUSPECT

    def test_broken_connections_are_no_evidence(self) -> None:
        """A network failure must not make all running requests suspects."""
        fleet = Fleet()
        fleet.send(0, 0, 'other-0')
        fleet.disconnect(0, is_crash=False)
        fleet.read_boot_id(0)
        verdict = fleet.cores[0].get_verdict('other-0', fleet.now)
        assert verdict is Verdict.CLEAR

    def test_unconfirmed_crashes_hold_request(self) -> None:
        """A request must not crash more engines before restarts are seen."""
        fleet = Fleet()
        for engine in range(2):
            fleet.send(0, engine, _CRASHING)
            fleet.disconnect(engine, is_crash=True)
            fleet.now += 2000
        assert fleet.send(0, 2, _CRASHING) is Verdict.HELD


class TestFingerprint:
    """Guards against blaming a request for another one with the same body."""

    def test_plain_requests_differ_by_target(self) -> None:
        """Requests without a body must not share a fingerprint."""
        directory = StaticConfiguration().get_directory()
        targets = (
            ('GET', '/services/desk/quotes/1', ''),
            ('GET', '/services/desk/quotes/2', ''),
            ('GET', '/services/desk/quotes/1', 'page=2'),
            ('DELETE', '/services/desk/quotes/1', ''),
        )
        headers = [(b'authorization', f'Bearer {KEY}'.encode())]
        fingerprints = {
            select_route(
                directory,
                ServerRequest(method, path, query, headers, b''),
            ).work.fingerprint
            for method, path, query in targets
        }
        assert len(fingerprints) == len(targets)


def retry_until_refused(fleet: Fleet, generator: Random) -> None:
    """Retry all running requests at random engines that are allowed.

    Returns when the crashing request is no longer running at any engine.
    """
    while any(run[2] == _CRASHING for run in fleet.running.values()):
        retries = [(run[0], run[2]) for run in fleet.running.values()]
        fleet.run_engines()
        fleet.deliver()
        fleet.now += 2000
        for daemon, fingerprint in retries:
            core = fleet.cores[daemon]
            engines = {f'engine-{number}' for number in range(_ENGINES)}
            excluded = core.list_excluded_endpoints(
                fingerprint, engines, fleet.now
            )
            chosen = generator.choice(sorted(engines - excluded))
            fleet.send(daemon, int(chosen[-1]), fingerprint)
