"""Runs of the policy benchmark: who decides, on what, with which seed."""

from dataclasses import fields, replace
from itertools import product

from bench.policy_daemons import Switches
from bench.policy_load import OUTPUT_MIX, REVIEW_MIX, Load
from bench.policy_world import Run, Scenario, Size

SEEDS = (1, 2)
FEW_SEEDS = (1, 2)
USERS = (
    Size('design-assist', 5, 4, 4, 7, 8),
    Size('rota-assistant', 6, 4, 4, 7, 8),
)
LARGER = (Size('n40', 40, 8, 5, 20, 50),)
REVERSAL = Scenario('reversal', Load(last_mix=OUTPUT_MIX))
FLOOD = Scenario('flood', Load(flood=6))
STEADY = Scenario('steady')
CUT = Scenario('cut', cut=True)
KILLERS = Scenario('killers', Load(killers=3))
SLOW = Scenario('slow', slow=True)
SCENARIOS = (
    STEADY,
    REVERSAL,
    FLOOD,
    Scenario('reviews', Load(first_mix=REVIEW_MIX, last_mix=REVIEW_MIX)),
    Scenario('crashes', Load(last_mix=OUTPUT_MIX), crashes=True),
    Scenario('reclaim', duration=300_000, reclaim=True),
    CUT,
)
SHORT = Load(last_mix=OUTPUT_MIX, shift_start=20_000, shift_end=100_000)
LARGER_SCENARIOS = (
    Scenario('steady', duration=40_000),
    Scenario('reversal', SHORT, duration=120_000),
)
CORES = ('core', 'static', 'static_mixed')
RULES = ('random', 'round_robin', 'least', 'least_mixed')
LOADS = (0.4, 0.5, 0.7, 0.8)
ABLATED = (REVERSAL, FLOOD)
NO_PEERS = Switches(peers=False)
#: What is switched off in which scenario of the table of failures.
FAILURES = (
    (KILLERS, Switches()),
    (KILLERS, Switches(quarantine=False)),
    (SLOW, Switches()),
    (SLOW, Switches(ejection=False)),
    (CUT, Switches()),
    (CUT, Switches(retry_budget=False)),
    (CUT, Switches(zone=False)),
    (STEADY, NO_PEERS),
    (STEADY, replace(NO_PEERS, own_work=False)),
    (STEADY, replace(NO_PEERS, tolerance=False)),
)
WITHOUT_PEERS = (STEADY, REVERSAL, FLOOD)
SWEPT = ('core', 'static_mixed', 'least')


def list_runs() -> list[Run]:
    """Return all runs, the longest first."""
    larger = product(
        reversed(LARGER),
        reversed(LARGER_SCENARIOS),
        ('core', 'least'),
    )
    ablations = product(list_switches(), ABLATED, FEW_SEEDS)
    sweep = product(LOADS, SWEPT)
    main = product(USERS, SCENARIOS)
    return [
        *(
            Run(size, scenario, policy, 1, label='larger')
            for size, scenario, policy in larger
        ),
        *_list_failures(),
        *(
            Run(USERS[0], scenario, 'core', seed, switches, 'ablation')
            for switches, scenario, seed in ablations
        ),
        *(
            run
            for size, scenario in main
            for run in _list_scenario(size, scenario)
        ),
        *(_build_load_run(load, policy) for load, policy in sweep),
    ]


def list_switches() -> list[Switches]:
    """Return each set of switches with one mechanism off."""
    return [
        replace(Switches(), **{item.name: False}) for item in fields(Switches)
    ]


def _list_failures() -> list[Run]:
    failures = [
        Run(USERS[0], scenario, 'core', seed, switches, 'failure')
        for (scenario, switches), seed in product(FAILURES, SEEDS)
    ]
    return failures + [
        Run(size, scenario, 'core', seed, NO_PEERS, 'no peers')
        for size, scenario, seed in product(USERS, WITHOUT_PEERS, SEEDS)
    ]


def _build_load_run(load: float, policy: str) -> Run:
    scenario = Scenario(f'load {load}', Load(utilisation=load))
    return Run(USERS[0], scenario, policy, 1, label='load')


def _list_scenario(size: Size, scenario: Scenario) -> list[Run]:
    runs = [
        Run(size, scenario, policy, seed)
        for policy, seed in product(('core', *RULES), SEEDS)
    ]
    if scenario in {STEADY, REVERSAL, FLOOD}:
        runs += [
            Run(size, scenario, policy, seed)
            for policy, seed in product(CORES[1:], FEW_SEEDS)
        ]
    return runs
