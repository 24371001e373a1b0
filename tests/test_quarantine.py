"""Tests of the recognition of requests that crash endpoints."""

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

_KILLER = 'killer'
_DAEMONS = 3
_ENGINES = 4
#: Longest delay of evidence that the settle time allows for.
_EVIDENCE_DELAY = 1000
_REFUSED = {Verdict.HELD, Verdict.CONVICTED}
_daemons = st.integers(0, _DAEMONS - 1)
_engines = st.integers(0, _ENGINES - 1)


@dataclass
class Fleet:
    """Daemons with quarantine cores before engines that can crash."""

    now: int = 0
    count: int = 0
    crashes: int = 0
    boots: list[int] = field(
        default_factory=lambda: [0 for _ in range(_ENGINES)]
    )
    aboard: dict[str, tuple[int, int, str]] = field(default_factory=dict)
    undelivered: list[ShareEvidence] = field(default_factory=list)
    cores: list[QuarantineCore] = field(
        default_factory=lambda: [
            QuarantineCore(QuarantineSettings()) for _ in range(_DAEMONS)
        ]
    )

    def feed(self, daemon: int, event: object) -> None:
        """Give an event to a core and keep the evidence that it shares."""
        self.undelivered += self.cores[daemon].handle(event, self.now)

    def deliver(self) -> None:
        """Give all shared evidence to all daemons."""
        while self.undelivered:
            evidence = self.undelivered.pop(0).evidence
            for core in self.cores:
                core.handle(EvidenceReceived(evidence), self.now)

    def send(self, daemon: int, engine: int, fingerprint: str) -> Verdict:
        """Run a request where its verdict allows it to run."""
        core = self.cores[daemon]
        verdict = core.get_verdict(fingerprint, self.now)
        is_shared = core.can_run_suspect(f'engine-{engine}', fingerprint)
        is_held = core.get_hold(fingerprint, self.now) > 0
        if verdict in _REFUSED or is_held or not is_shared:
            return verdict
        self.count += 1
        request_id = f'request-{self.count}'
        self.aboard[request_id] = (daemon, engine, fingerprint)
        event = RequestStarted(request_id, fingerprint, f'engine-{engine}')
        self.feed(daemon, event)
        return verdict

    def lose(self, engine: int, *, is_crash: bool) -> None:
        """Break all connections of an engine, by a crash or a cut."""
        lost = [key for key, run in self.aboard.items() if run[1] == engine]
        boot = self.boots[engine]
        owners = sorted({self.aboard[key][0] for key in lost})
        for daemon in owners:
            event = EndpointLost(f'engine-{engine}', f'boot-{boot}')
            self.feed(daemon, event)
        for request_id in lost:
            owner = self.aboard.pop(request_id)[0]
            self.feed(owner, RequestEnded(request_id, is_complete=False))
        self.boots[engine] += int(is_crash)
        self.crashes += int(is_crash)

    def see(self, engine: int) -> None:
        """Let all daemons read the engine's boot id."""
        boot = f'boot-{self.boots[engine]}'
        for daemon in range(_DAEMONS):
            seen = EndpointAnswered(f'engine-{engine}', boot, self.now)
            self.feed(daemon, seen)

    def run_engines(self) -> None:
        """Crash the engines that run the killer; finish other requests."""
        doomed = {run[1] for run in self.aboard.values() if run[2] == _KILLER}
        for engine in doomed:
            self.lose(engine, is_crash=True)
            self.see(engine)
        for request_id in list(self.aboard):
            daemon = self.aboard.pop(request_id)[0]
            self.feed(daemon, RequestEnded(request_id, is_complete=True))


class QuarantineMachine(RuleBasedStateMachine):
    """A killer and other requests under late evidence and cuts."""

    def __init__(self) -> None:
        """Start with an idle fleet."""
        super().__init__()
        self.fleet = Fleet()
        self.delivered_at = 0

    @rule(daemon=_daemons, engine=_engines, other=st.integers(0, 5))
    def send_other(self, daemon: int, engine: int, other: int) -> None:
        """A request that does no harm arrives."""
        self.fleet.send(daemon, engine, f'other-{other}')

    @rule(daemon=_daemons, engine=_engines)
    def send_killer(self, daemon: int, engine: int) -> None:
        """The killer is sent, perhaps again."""
        self.fleet.send(daemon, engine, _KILLER)

    @rule()
    def run_engines(self) -> None:
        """Engines crash or finish their requests."""
        self.fleet.run_engines()

    @rule()
    def deliver(self) -> None:
        """Evidence arrives."""
        self.delivered_at = self.fleet.now
        self.fleet.deliver()

    @rule(engine=_engines)
    def cut(self, engine: int) -> None:
        """An engine is cut off for a moment and goes on running."""
        self.fleet.lose(engine, is_crash=False)
        self.fleet.see(engine)

    @rule(duration=st.sampled_from([100, 2000]))
    def pass_time(self, duration: int) -> None:
        """Time passes."""
        if self.fleet.now + duration > self.delivered_at + _EVIDENCE_DELAY:
            self.deliver()
        self.fleet.now += duration

    @invariant()
    def others_are_never_convicted(self) -> None:
        """A request that stood beside the killer is not blamed."""
        for core in self.fleet.cores:
            for other in range(6):
                verdict = core.get_verdict(f'other-{other}', self.fleet.now)
                assert verdict is not Verdict.CONVICTED


class TestBystanders:
    """Guards against blaming requests beside the one that crashes engines."""

    def test_never_convicted(self) -> None:
        """No order of crashes, cuts and late evidence convicts another."""
        run_state_machine_as_test(
            QuarantineMachine,
            settings=settings(
                max_examples=100,
                stateful_step_count=40,
                phases=(Phase.generate,),
            ),
        )


class TestKiller:
    """Guards against a request that goes on crashing engines."""

    def test_two_crashes_through_different_daemons(self) -> None:
        """Its third try is refused by a daemon that never ran it."""
        fleet = Fleet()
        for daemon in range(2):
            fleet.send(daemon, daemon, _KILLER)
            fleet.send(daemon, daemon, f'other-{daemon}')
            fleet.run_engines()
            fleet.deliver()
            assert fleet.send(2, 3, _KILLER) is not Verdict.CLEAR
            assert not fleet.aboard
            fleet.now += 2000
        assert fleet.send(2, 3, _KILLER) is Verdict.CONVICTED
        assert fleet.crashes == 2

    def test_suspects_do_not_share_an_engine(self) -> None:
        """Two suspects aboard one crash could not be told apart."""
        fleet = Fleet()
        fleet.send(0, 0, _KILLER)
        fleet.send(0, 0, 'other-0')
        fleet.run_engines()
        fleet.now += 2000
        fleet.send(0, 1, _KILLER)
        assert not fleet.cores[0].can_run_suspect('engine-1', 'other-0')

    def test_suspects_of_two_daemons(self) -> None:
        """Daemons that try suspects again together lose no fourth engine."""
        generator = Random(4)
        for _ in range(200):
            fleet = Fleet()
            tries = ((0, _KILLER), (1, 'other-1'), (2, 'other-2'))
            for daemon, fingerprint in tries:
                fleet.send(daemon, 0, fingerprint)
            convict(fleet, generator)
            assert fleet.crashes <= 3

    def test_suspect_of_an_older_loss(self) -> None:
        """Daemons give out the same parts though one knows an older loss."""
        cores = [QuarantineCore(QuarantineSettings()) for _ in range(2)]
        older = Evidence('engine-0', 'boot', 'other', is_crash=True)
        cores[1].handle(EvidenceReceived((older,)), 0)
        newer = tuple(
            Evidence('engine-3', 'boot', name, is_crash=True)
            for name in ('other', _KILLER)
        )
        for core in cores:
            core.handle(EvidenceReceived(newer), 10)
        engines = {f'engine-{number}' for number in range(_ENGINES)}
        allowed = engines - cores[0].list_excluded_endpoints(
            _KILLER, engines, 2000
        )
        assert allowed
        assert not allowed - cores[1].list_excluded_endpoints(
            'other', engines, 2000
        )

    def test_more_suspects_than_engines(self) -> None:
        """No two suspects may be tried at one engine in one turn."""
        core = QuarantineCore(QuarantineSettings())
        names = [f'other-{number}' for number in range(7)]
        evidence = tuple(
            Evidence('engine-3', 'boot', name, is_crash=True) for name in names
        )
        core.handle(EvidenceReceived(evidence), 0)
        engines = {f'engine-{number}' for number in range(_ENGINES)}
        for now in (1600, 3100, 4600):
            taken = [
                sorted(
                    engines - core.list_excluded_endpoints(name, engines, now)
                )
                for name in names
            ]
            if now < 3000:
                first = [item for items in taken for item in items]
                assert len(first) == len(set(first)) == 3
        assert all(taken)

    def test_beside_two_killers(self) -> None:
        """A request aboard losses of two killers is not blamed for them.

        The daemon does not know that another one has run it in between.
        """
        core = QuarantineCore(QuarantineSettings())
        losses = (
            ('engine-0', (_KILLER, 'other')),
            ('engine-1', (_KILLER,)),
            ('engine-2', ('second killer', 'other', 'third')),
        )
        for now, (engine, aboard) in enumerate(losses):
            evidence = tuple(
                Evidence(engine, 'boot', name, is_crash=True) for name in aboard
            )
            core.handle(EvidenceReceived(evidence), now)
        assert core.get_verdict('other', 10000) is Verdict.SUSPECT
        assert core.get_verdict(_KILLER, 10000) is Verdict.CONVICTED

    def test_state_asked_before_the_loss(self) -> None:
        """An answer that was under way as the engine crashed proves nothing."""
        fleet = Fleet(now=100)
        fleet.send(0, 0, _KILLER)
        fleet.lose(0, is_crash=True)
        fleet.feed(0, EndpointAnswered('engine-0', 'boot-0', 90))
        verdict = fleet.cores[0].get_verdict(_KILLER, fleet.now)
        assert verdict is Verdict.SUSPECT

    def test_cut_is_no_evidence(self) -> None:
        """A network cut must not make suspects of all requests."""
        fleet = Fleet()
        fleet.send(0, 0, 'other-0')
        fleet.lose(0, is_crash=False)
        fleet.see(0)
        verdict = fleet.cores[0].get_verdict('other-0', fleet.now)
        assert verdict is Verdict.CLEAR

    def test_unconfirmed_crashes_hold_the_request(self) -> None:
        """Engines that have not come back yet must not all be lost."""
        fleet = Fleet()
        for engine in range(2):
            fleet.send(0, engine, _KILLER)
            fleet.lose(engine, is_crash=True)
            fleet.now += 2000
        assert fleet.send(0, 2, _KILLER) is Verdict.HELD


def convict(fleet: Fleet, generator: Random) -> None:
    """Try all requests aboard again at random engines that are allowed.

    It ends when no daemon sends the killer any more.
    """
    while any(run[2] == _KILLER for run in fleet.aboard.values()):
        again = [(run[0], run[2]) for run in fleet.aboard.values()]
        fleet.run_engines()
        fleet.deliver()
        fleet.now += 2000
        for daemon, fingerprint in again:
            core = fleet.cores[daemon]
            engines = {f'engine-{number}' for number in range(_ENGINES)}
            barred = core.list_excluded_endpoints(
                fingerprint, engines, fleet.now
            )
            chosen = generator.choice(sorted(engines - barred))
            fleet.send(daemon, int(chosen[-1]), fingerprint)
