"""Lists the runs of the policy benchmark."""

from dataclasses import fields, replace
from itertools import product

from bench.policy_daemons import Switches
from bench.policy_load import OUTPUT_MIX, REVIEW_MIX, Load
from bench.policy_world import FleetSize, Run, Scenario

SEEDS = (1, 2)
#: Seeds of the ablations and of the runs with fixed roles.
FEW_SEEDS = (1, 2)
USER_FLEETS = (
    FleetSize('design-assist', 5, 4, 4, 7, 8),
    FleetSize('rota-assistant', 6, 4, 4, 7, 8),
)
LARGER_FLEETS = (FleetSize('n40', 40, 8, 5, 20, 50),)
REVERSAL = Scenario('reversal', Load(last_mix=OUTPUT_MIX))
FLOOD = Scenario('flood', Load(flood=6))
STEADY = Scenario('steady')
CUT = Scenario('cut', cut=True)
CRASHING = Scenario('killers', Load(crashing_requests=3))
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
#: Shift of the mix in the shorter runs of larger fleets.
SHORT_SHIFT = Load(last_mix=OUTPUT_MIX, shift_start=20_000, shift_end=100_000)
LARGER_SCENARIOS = (
    Scenario('steady', duration=40_000),
    Scenario('reversal', SHORT_SHIFT, duration=120_000),
)
#: The decision cores with the role planner, with fixed roles, and with mixed
#: engines only.
CORE_POLICIES = ('core', 'static', 'static_mixed')
#: Simple rules, with which the cores are compared.
BASELINE_POLICIES = ('random', 'round_robin', 'least', 'least_mixed')
#: Loads of the sweep as shares of what the ideal fleet serves.
LOADS = (0.4, 0.5, 0.7, 0.8)
ABLATION_SCENARIOS = (REVERSAL, FLOOD)
NO_PEERS = Switches(peers=False)
#: Scenario and mechanisms of each row in the table of failures.
FAILURES = (
    (CRASHING, Switches()),
    (CRASHING, Switches(quarantine=False)),
    (SLOW, Switches()),
    (SLOW, Switches(ejection=False)),
    (CUT, Switches()),
    (CUT, Switches(retry_budget=False)),
    (CUT, Switches(zone=False)),
    (STEADY, NO_PEERS),
    (STEADY, replace(NO_PEERS, own_work=False)),
    (STEADY, replace(NO_PEERS, tolerance=False)),
)
NO_PEERS_SCENARIOS = (STEADY, REVERSAL, FLOOD)
SWEPT_POLICIES = ('core', 'static_mixed', 'least')


def list_runs() -> list[Run]:
    """Return all runs; the longest, those of larger fleets, come first."""
    larger = product(
        reversed(LARGER_FLEETS),
        reversed(LARGER_SCENARIOS),
        ('core', 'least'),
    )
    ablations = product(list_switches(), ABLATION_SCENARIOS, FEW_SEEDS)
    sweep = product(LOADS, SWEPT_POLICIES)
    main = product(USER_FLEETS, SCENARIOS)
    return [
        *(
            Run(size, scenario, policy, 1, label='larger')
            for size, scenario, policy in larger
        ),
        *_list_failure_runs(),
        *(
            Run(USER_FLEETS[0], scenario, 'core', seed, switches, 'ablation')
            for switches, scenario, seed in ablations
        ),
        *(
            run
            for size, scenario in main
            for run in _list_scenario_runs(size, scenario)
        ),
        *(_build_load_run(load, policy) for load, policy in sweep),
    ]


def list_switches() -> list[Switches]:
    """Return switches with a single mechanism off, one per mechanism."""
    return [
        replace(Switches(), **{item.name: False}) for item in fields(Switches)
    ]


def _list_failure_runs() -> list[Run]:
    failures = [
        Run(USER_FLEETS[0], scenario, 'core', seed, switches, 'failure')
        for (scenario, switches), seed in product(FAILURES, SEEDS)
    ]
    return failures + [
        Run(size, scenario, 'core', seed, NO_PEERS, 'no peers')
        for size, scenario, seed in product(
            USER_FLEETS, NO_PEERS_SCENARIOS, SEEDS
        )
    ]


def _build_load_run(load: float, policy: str) -> Run:
    scenario = Scenario(f'load {load}', Load(utilisation=load))
    return Run(USER_FLEETS[0], scenario, policy, 1, label='load')


def _list_scenario_runs(size: FleetSize, scenario: Scenario) -> list[Run]:
    runs = [
        Run(size, scenario, policy, seed)
        for policy, seed in product(('core', *BASELINE_POLICIES), SEEDS)
    ]
    if scenario in {STEADY, REVERSAL, FLOOD}:
        runs += [
            Run(size, scenario, policy, seed)
            for policy, seed in product(CORE_POLICIES[1:], FEW_SEEDS)
        ]
    return runs
