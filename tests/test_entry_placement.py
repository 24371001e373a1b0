"""Tests of placing under the loads that the users' sheets describe."""

from collections import Counter
from random import Random

from tests.entry_samples import create_endpoint

from clementinedyke.entry.catalog import PromptPart, Stage
from clementinedyke.entry.endpoint_work import PromptProfile, WorkTable
from clementinedyke.entry.placement import PlacementCore

_SHARED = 13000
_OWN = 4000
_FOUR = ('zone-a', 'zone-a', 'zone-a', 'zone-a')
_SIX = (*_FOUR, 'zone-a', 'zone-a')


def create_profile(subject: str, own: str = 'own') -> PromptProfile:
    """Return a review of a subject."""
    return PromptProfile(
        _SHARED + _OWN,
        (PromptPart(subject, _SHARED), PromptPart(own, _OWN)),
    )


def create_core(
    *zones: str,
    stage: Stage | None = Stage.PREFILL,
    is_late: bool = False,
    seed: int = 1,
) -> PlacementCore:
    """Return a core of zone ``zone-a`` with an engine in each given zone."""
    core = PlacementCore('zone-a', WorkTable(), Random(seed), lambda: is_late)
    core.set_endpoints(
        create_endpoint(f'i-{number}', stage, zone)
        for number, zone in enumerate(zones)
    )
    return core


class TestPrefillPlacement:
    """Guards against reading the same parts again on every engine."""

    def test_same_home_everywhere(self) -> None:
        """Daemons must agree on the engine of a subject without talking."""
        cores = [create_core(*_SIX) for _ in range(3)]
        for subject in range(20):
            chosen = {
                core.select_prefill(
                    'chat', create_profile(f's-{subject}'), 0
                ).endpoint_id
                for core in cores
            }
            assert len(chosen) == 1

    def test_subjects_spread(self) -> None:
        """The subjects must not gather on a few engines."""
        core = create_core(*_SIX)
        homes = Counter(
            core.select_prefill(
                'chat', create_profile(f's-{subject}'), 0
            ).endpoint_id
            for subject in range(90)
        )
        assert len(homes) == 6
        assert max(homes.values()) <= 30

    def test_leaving_engine_moves_its_subjects_only(self) -> None:
        """A change of the fleet must not empty all caches."""
        core = create_core(*_SIX)
        profiles = [create_profile(f's-{subject}') for subject in range(40)]
        before = [
            core.select_prefill('chat', profile, 0).endpoint_id
            for profile in profiles
        ]
        core.set_endpoints(
            create_endpoint(
                f'i-{number}', Stage.PREFILL, is_leaving=number == 0
            )
            for number in range(6)
        )
        after = [
            core.select_prefill('chat', profile, 0).endpoint_id
            for profile in profiles
        ]
        assert all(
            new == old
            for old, new in zip(before, after, strict=True)
            if old != 'i-0'
        )
        assert 'i-0' not in after

    def test_busy_home_spills(self) -> None:
        """A burst on one subject must reach other engines as well."""
        core = create_core(*_FOUR)
        profile = create_profile('hot')
        chosen = set()
        for _ in range(12):
            engine = core.select_prefill('chat', profile, 0)
            chosen.add(engine.endpoint_id)
            core.work.start_prefill(engine, profile, 0)
        assert len(chosen) > 1

    def test_other_daemons_count(self) -> None:
        """Work of other daemons must be seen before a report tells of it."""
        core = create_core('zone-a', 'zone-a')
        profile = create_profile('hot')
        home = core.select_prefill('chat', profile, 0).endpoint_id
        core.work.set_remote_work({home: 9}, {home: 400000})
        assert core.select_prefill('chat', profile, 0).endpoint_id != home

    def test_told_parts(self) -> None:
        """An engine that read a part for another daemon needs not read it."""
        core = create_core('zone-a', 'zone-a')
        profile = create_profile('hot')
        home = core.select_prefill('chat', profile, 0).endpoint_id
        other = 'i-0' if home == 'i-1' else 'i-1'
        core.work.set_remote_work({home: 1}, {home: 14000})
        assert core.select_prefill('chat', profile, 0).endpoint_id == home
        core.work.record_remote_parts({other: ['hot']}, 0)
        assert core.select_prefill('chat', profile, 0).endpoint_id == other


class TestReadWork:
    """Guards against counting work that an engine has done already."""

    def test_drains(self) -> None:
        """Work of a second ago must not weigh like work of now."""
        core = create_core('zone-a')
        engine = core.select_prefill('chat', create_profile('s'), 0)
        core.work.start_prefill(engine, create_profile('s'), 0)
        work = core.work.get_work(engine)
        work.running = 1
        begun = core.work.get_local_work(0)['i-0'][1]
        later = core.work.get_local_work(200)['i-0'][1]
        assert later > 0
        assert begun > later
        assert core.work.get_local_work(5000)['i-0'][1] == 0

    def test_shared_engine_drains_slower(self) -> None:
        """An engine that reads for others too is slower for this daemon."""
        left = []
        for others in (0, 100000):
            core = create_core('zone-a')
            engine = core.select_prefill('chat', create_profile('s'), 0)
            core.work.start_prefill(engine, create_profile('s'), 0)
            core.work.set_remote_work({}, {'i-0': others})
            core.work.get_work(engine).running = 1
            left.append(core.work.get_local_work(200)['i-0'][1])
        assert left[0] < left[1]

    def test_given_up(self) -> None:
        """A read that was given up must leave no work behind."""
        core = create_core('zone-a')
        engine = core.select_prefill('chat', create_profile('s'), 0)
        ticket = core.work.start_prefill(engine, create_profile('s'), 0)
        core.work.end_prefill(ticket, 10)
        assert not core.work.get_work(engine).prompt_tokens

    def test_limit_grows_with_the_load(self) -> None:
        """While all reads take long, none is given up for being slow.

        Reads that were given up after 1.2 s under load were read again
        elsewhere, which made all engines slower still.
        """
        core = create_core('zone-a')
        engine = core.select_prefill('chat', create_profile('s'), 0)
        calm = core.work.get_prefill_timeout(engine, create_profile('s'))
        now = 0
        for _ in range(30):
            ticket = core.work.start_prefill(engine, create_profile('s'), now)
            now += 2000
            core.work.end_prefill(ticket, now)
        loaded = core.work.get_prefill_timeout(engine, create_profile('s'))
        assert loaded > 2 * calm
        assert loaded > 5000

    def test_long_prompts_weigh_more(self) -> None:
        """Twice the prompt costs more than twice the work."""
        core = create_core('zone-a')
        engine = core.select_prefill('chat', create_profile('s'), 0)
        short = PromptProfile(20000, (PromptPart('a', 20000),))
        double = PromptProfile(40000, (PromptPart('b', 40000),))
        one = core.work.start_prefill(engine, short, 0).cost
        two = core.work.start_prefill(engine, double, 0).cost
        assert two > 2 * one


class TestBacklog:
    """Guards against lost engines that nobody misses."""

    def test_mean_wait(self) -> None:
        """The wait is that of the reading engines, of all daemons' prompts."""
        core = create_core('zone-a', 'zone-b')
        assert core.work.get_backlog('chat', 0) == 0
        engine = core.select_prefill('chat', create_profile('s'), 0)
        core.work.start_prefill(engine, create_profile('s'), 0)
        own = core.work.get_backlog('chat', 0)
        core.work.set_remote_work({}, {'i-0': 20000, 'i-1': 20000})
        both = core.work.get_backlog('chat', 0)
        assert 0 < own < both
        assert core.work.get_backlog('other', 0) == 0


class TestDecodePlacement:
    """Guards against engines that draw requests which they don't run."""

    def test_near_the_memory(self) -> None:
        """Memory moves at half the speed between zones."""
        core = create_core('zone-a', 'zone-b', stage=Stage.DECODE)
        source = create_endpoint('i-9', Stage.PREFILL, 'zone-b')
        assert core.select_decode('chat', source, 0).endpoint_id == 'i-1'

    def test_full_engine_is_left(self) -> None:
        """A near engine that is much fuller must not get more."""
        core = create_core('zone-a', 'zone-b', stage=Stage.DECODE)
        core.work.set_remote_work({'i-1': 8}, {})
        source = create_endpoint('i-9', Stage.PREFILL, 'zone-b')
        assert core.select_decode('chat', source, 0).endpoint_id == 'i-0'

    def test_rejecting_engine_rests(self) -> None:
        """An engine that changes its stage looks empty and rejects all.

        Without a pause it drew every request; 23 of a calm day were refused.
        """
        core = create_core('zone-a', 'zone-a', stage=Stage.DECODE)
        core.work.set_remote_work({'i-1': 5}, {})
        rejecting = core.select_decode('chat', None, 0)
        core.work.record_rejection(rejecting, 0)
        assert core.select_decode('chat', None, 50).endpoint_id == 'i-1'
        assert core.select_decode('chat', None, 5000).endpoint_id == 'i-0'

    def test_repeated_rejections(self) -> None:
        """Each rejection in a row must make the pause longer."""
        core = create_core('zone-a', 'zone-a', stage=Stage.DECODE)
        engine = core.select_decode('chat', None, 0)
        work = core.work.get_work(engine)
        pauses = []
        for _ in range(6):
            core.work.record_rejection(engine, 0)
            pauses.append(work.paused_until)
        assert pauses[0] < pauses[1] < pauses[2]
        assert pauses[-1] == pauses[-2]
        core.work.record_acceptance(engine)
        core.work.record_rejection(engine, 0)
        assert work.paused_until == pauses[0]

    def test_cut_zone(self) -> None:
        """Three unreachable quarters of the fleet must not be tried."""
        core = create_core(
            'zone-a', 'zone-b', 'zone-c', 'zone-d', stage=Stage.DECODE
        )
        for number in (1, 2, 3):
            engine = create_endpoint(f'i-{number}', Stage.DECODE)
            core.work.record_unreachable(engine, 0)
        core.work.set_remote_work({'i-0': 9}, {})
        assert core.select_decode('chat', None, 100).endpoint_id == 'i-0'

    def test_cut_zone_as_a_whole(self) -> None:
        """Engines beyond a cut must not each fail a request first."""
        core = create_core('zone-b', 'zone-b', 'zone-b', 'zone-a', stage=None)
        core.work.set_remote_work({'i-3': 9}, {})
        lost = [
            create_endpoint(f'i-{index}', zone='zone-b') for index in (0, 1)
        ]
        for endpoint in lost:
            core.work.record_unreachable(endpoint, 0)
        assert core.select_plain('chat', 500).endpoint_id == 'i-3'
        core.work.record_acceptance(create_endpoint('i-2', zone='zone-b'))
        assert core.select_plain('chat', 500).endpoint_id == 'i-2'

    def test_one_lost_engine(self) -> None:
        """One engine that is down does not make its zone unreachable."""
        core = create_core('zone-b', 'zone-b', 'zone-a', stage=Stage.DECODE)
        core.work.set_remote_work({'i-2': 9}, {})
        lost = create_endpoint('i-0', Stage.DECODE, 'zone-b')
        for _ in range(3):
            core.work.record_unreachable(lost, 0)
        assert core.select_decode('chat', None, 500).endpoint_id == 'i-1'

    def test_late_news(self) -> None:
        """Many daemons must not all take the engine that was the emptiest.

        With 72 daemons the news are 1.2 s old; an engine that was 10 requests
        emptier than the others got what all daemons sent until the next ones.
        """
        chosen = Counter()
        for seed in range(64):
            core = create_core(
                *_SIX, stage=Stage.DECODE, is_late=True, seed=seed
            )
            core.work.set_remote_work(
                {f'i-{index}': 5 for index in range(1, 6)}, {}
            )
            for _ in range(4):
                engine = core.select_decode('chat', None, 0)
                core.work.get_work(engine).running += 1
                chosen[engine.endpoint_id] += 1
        assert chosen['i-0'] < 2.1 * 64 * 4 / 6
        assert min(chosen.values()) > 0.4 * 64 * 4 / 6

    def test_late_news_of_reads(self) -> None:
        """Reads that leave their home spread too; the home is still one."""
        spread = set()
        for seed in range(40):
            core = create_core(*_SIX, is_late=True, seed=seed)
            home = core.select_prefill('chat', create_profile('s'), 0)
            others = {f'i-{index}': 40000 for index in range(6)}
            others[home.endpoint_id] = 900000
            core.work.set_remote_work({}, others)
            spread.add(core.select_prefill('chat', create_profile('s'), 0))
        assert len(spread) > 3

    def test_open_connection(self) -> None:
        """Of engines that are about as full, the connected one is taken.

        Of 24172 requests of a day with 72 daemons, 9257 opened a connection.
        """
        core = create_core('zone-a', 'zone-a', stage=Stage.DECODE)
        core.has_connection = lambda endpoint: endpoint.endpoint_id == 'i-1'
        assert core.select_decode('chat', None, 0).endpoint_id == 'i-1'
        core.work.set_remote_work({'i-1': 4}, {})
        assert core.select_decode('chat', None, 0).endpoint_id == 'i-0'

    def test_all_paused(self) -> None:
        """With nothing else left, a paused engine is better than none."""
        core = create_core('zone-a', stage=Stage.DECODE)
        core.work.record_unreachable(create_endpoint('i-0', Stage.DECODE), 0)
        assert core.select_decode('chat', None, 100) is not None

    def test_wrong_stage(self) -> None:
        """An engine of the other stage answers 421 to everything."""
        core = create_core('zone-a', stage=Stage.PREFILL)
        assert core.select_decode('chat', None, 0) is None


class TestPlainPlacement:
    """Guards against herding on endpoints of a plain service."""

    def test_spreads(self) -> None:
        """Requests at the same moment must not go to one endpoint."""
        core = create_core('zone-a', 'zone-a', 'zone-a', stage=None)
        chosen = Counter()
        for _ in range(9):
            endpoint = core.select_plain('chat', 0)
            core.work.get_work(endpoint).running += 1
            chosen[endpoint.endpoint_id] += 1
        assert set(chosen.values()) == {3}

    def test_failing_endpoint(self) -> None:
        """An endpoint that fails one request after another is ejected."""
        core = create_core('zone-a', 'zone-b', 'zone-b', stage=None)
        grey = core.select_plain('chat', 0)
        for number in range(3):
            core.record_failure(grey, f'r-{number}', 0)
        assert core.select_plain('chat', 10).endpoint_id != grey.endpoint_id

    def test_ejected_endpoint_comes_back(self) -> None:
        """An endpoint that answers again must not stay under suspicion.

        Endpoints that had once been ejected counted as ejected for ever, and
        soon no other one could be.
        """
        core = create_core('zone-a', 'zone-b', 'zone-b', stage=None)
        grey = core.select_plain('chat', 0)
        for number in range(3):
            core.record_failure(grey, f'r-{number}', 0)
        core.record_success(grey, 'early', 10)
        assert core.select_plain('chat', 20).endpoint_id != grey.endpoint_id
        core.record_success(grey, 'late', 5000)
        other = core.select_plain('chat', 5000, frozenset((grey.endpoint_id,)))
        for again in range(3):
            core.record_failure(other, f'r-{again}', 5000)
        left = {
            core.select_plain('chat', 5010, frozenset((name,))).endpoint_id
            for name in ('i-0', 'i-1', 'i-2')
        }
        assert other.endpoint_id not in left

    def test_prompts_without_shared_parts(self) -> None:
        """Prompts that share nothing must not all go to one engine."""
        core = create_core(*_FOUR)
        chosen = {
            core.select_prefill(
                'chat',
                PromptProfile(900, (PromptPart(f'own-{number}', 900),)),
                0,
            ).endpoint_id
            for number in range(30)
        }
        assert len(chosen) == 4
