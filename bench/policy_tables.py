"""Compiles the result tables of the policy benchmark in Markdown."""

from dataclasses import fields
from itertools import product
from statistics import fmean
from typing import Any

from bench.policy_daemons import Switches
from bench.policy_load import Load
from bench.policy_outcome import Figures
from bench.policy_runs import (
    ABLATION_SCENARIOS,
    BASELINE_POLICIES,
    CORE_POLICIES,
    FAILURES,
    FEW_SEEDS,
    FLOOD,
    LOADS,
    REVERSAL,
    STEADY,
    SWEPT_POLICIES,
    USER_FLEETS,
    list_switches,
)
from bench.policy_world import FleetSize, Run, Scenario

#: Figures in the tables of scenarios, in this order.
COLUMNS = (
    'goodput',
    'bound',
    'worst',
    'mean',
    'flooder',
    'short',
    'plain',
    'changes',
    'most_changes',
    'spending',
    'cheap_share',
    'cheap_harm',
    'lost',
    'retries',
    'refusals',
    'late_refusals',
    'wrong_refusals',
    'broken',
    'requests',
)


def get_disabled_mechanism(switches: Switches) -> str:
    """Return the name of the first mechanism that is switched off."""
    names = (item.name for item in fields(Switches))
    return next(name for name in names if not getattr(switches, name))


def get_means(
    figures: dict[Run, Figures], **criteria: Any
) -> dict[str, float] | None:
    """Return the mean of each figure over the selected runs.

    :param figures: figures by run.
    :param criteria: values that the fields of a run must have.
    :return: means by name, or None if no run matches.
    """
    selected = [
        result
        for run, result in figures.items()
        if all(getattr(run, name) == item for name, item in criteria.items())
    ]
    if not selected:
        return None
    return {
        name: fmean(getattr(result, name) for result in selected)
        for name in (*COLUMNS, 'kills')
    }


def compile_table(rows: list[list[str]]) -> str:
    """Return a Markdown table; the first row is its header."""
    lines = [f'| {" | ".join(row)} |' for row in rows]
    lines.insert(1, f'|{" --- |" * len(rows[0])}')
    return '\n'.join(lines)


def compile_scenarios(
    figures: dict[Run, Figures],
    sizes: tuple[FleetSize, ...],
    scenarios: tuple[Scenario, ...],
    label: str,
) -> str:
    """Return a table with a row per scenario, fleet and policy.

    :param figures: figures by run.
    :param sizes: fleets to include.
    :param scenarios: scenarios to include.
    :param label: label of the runs to include.
    """
    head = ['scenario', 'fleet', 'policy', *COLUMNS]
    rows = [[name.replace('_', ' ') for name in head]]
    for scenario, size, policy in product(
        scenarios, sizes, (*CORE_POLICIES, *BASELINE_POLICIES)
    ):
        means = get_means(
            figures, size=size, scenario=scenario, policy=policy, label=label
        )
        if means is not None:
            cells = [_format_figure(means[name]) for name in COLUMNS]
            rows.append([scenario.name, size.name, policy, *cells])
    return compile_table(rows)


def compile_targets(figures: dict[Run, Figures]) -> str:
    """Return the table of targets and whether each was met."""
    rows = [['target', 'fleet', 'wanted', 'measured', 'result']]
    for size in USER_FLEETS:
        rows += _list_share_targets(figures, size)
        rows += _list_count_targets(figures, size)
    return compile_table(rows)


def compile_ablations(figures: dict[Run, Figures]) -> str:
    """Return the table of the effect of switching off each mechanism."""
    names = ('goodput', 'worst', 'mean', 'retries', 'refusals', 'changes')
    head = [
        f'{item.name} {name}' for item in ABLATION_SCENARIOS for name in names
    ]
    rows = [['switched off', *head]]
    base = [
        _get_ablation_means(figures, scenario, Switches(), '')
        for scenario in ABLATION_SCENARIOS
    ]
    rows.append(
        [
            'nothing',
            *[_format_figure(row[name]) for row in base for name in names],
        ]
    )
    for switches in list_switches():
        cells = []
        for scenario, reference in zip(ABLATION_SCENARIOS, base, strict=True):
            means = _get_ablation_means(figures, scenario, switches, 'ablation')
            cells += [f'{means[name] - reference[name]:+.3g}' for name in names]
        rows.append(
            [get_disabled_mechanism(switches).replace('_', ' '), *cells]
        )
    return compile_table(rows)


def compile_failures(figures: dict[Run, Figures]) -> str:
    """Return the table of the effect of mechanisms under failures."""
    names = ('goodput', 'worst', 'mean', 'retries', 'refusals', 'broken')
    rows = [['scenario', 'switched off', *names, 'crashes per killer']]
    for scenario, switches in FAILURES:
        means = get_means(
            figures, scenario=scenario, switches=switches, label='failure'
        )
        off = [
            item.name.replace('_', ' ')
            for item in fields(Switches)
            if not getattr(switches, item.name)
        ]
        if means is not None:
            cells = [_format_figure(means[name]) for name in (*names, 'kills')]
            rows.append([scenario.name, ', '.join(off) or 'nothing', *cells])
    return compile_table(rows)


def compile_sweep(figures: dict[Run, Figures]) -> str:
    """Return the table of goodput by load and policy."""
    rows = [['load', *SWEPT_POLICIES]]
    for load in sorted((*LOADS, STEADY.load.utilisation)):
        cells = [
            _format_figure(get_load_goodput(figures, load, policy))
            for policy in SWEPT_POLICIES
        ]
        rows.append([str(load), *cells])
    return compile_table(rows)


def get_load_goodput(
    figures: dict[Run, Figures], load: float, policy: str
) -> float:
    """Return the goodput of the first fleet at a constant load, seed 1."""
    return next(
        result.goodput
        for run, result in figures.items()
        if run.size == USER_FLEETS[0]
        and run.scenario.load == Load(utilisation=load)
        and run.scenario.name.startswith(('load', 'steady'))
        and (run.policy, run.seed) == (policy, 1)
    )


def _get_scenario_means(
    figures: dict[Run, Figures],
    size: FleetSize,
    scenario: Scenario,
    policy: str,
) -> dict[str, float]:
    means = get_means(
        figures, size=size, scenario=scenario, policy=policy, label=''
    )
    return means or {}


def _get_best_goodput(
    figures: dict[Run, Figures], size: FleetSize, policies: tuple[str, ...]
) -> float:
    return max(
        _get_scenario_means(figures, size, REVERSAL, policy)['goodput']
        for policy in policies
    )


def _get_ablation_means(
    figures: dict[Run, Figures],
    scenario: Scenario,
    switches: Switches,
    label: str,
) -> dict[str, float]:
    rows = [
        get_means(
            figures,
            size=USER_FLEETS[0],
            scenario=scenario,
            policy='core',
            seed=seed,
            switches=switches,
            label=label,
        )
        for seed in FEW_SEEDS
    ]
    return {name: fmean(row[name] for row in rows if row) for name in COLUMNS}


def _format_figure(figure: float) -> str:
    if figure == round(figure):
        return str(round(figure))
    return f'{figure:.3f}' if figure < 10 else f'{figure:.0f}'


def _list_share_targets(
    figures: dict[Run, Figures], size: FleetSize
) -> list[list[str]]:
    steady = _get_scenario_means(figures, size, STEADY, 'core')
    reversal = _get_scenario_means(figures, size, REVERSAL, 'core')
    flood = _get_scenario_means(figures, size, FLOOD, 'core')
    reversal_goodput = reversal['goodput']
    without_peers = {
        scenario: get_means(
            figures, size=size, scenario=scenario, label='no peers'
        )
        or {}
        for scenario in (STEADY, REVERSAL, FLOOD)
    }
    checks = (
        ('of the bound, steady', 0.95, steady['goodput'] / steady['bound']),
        ('of the bound, reversal', 0.85, reversal_goodput / reversal['bound']),
        (
            'times the best simple rule, reversal',
            1.5,
            reversal_goodput
            / max(0.001, _get_best_goodput(figures, size, BASELINE_POLICIES)),
        ),
        (
            'times the best fixed roles under the cores, reversal',
            1.5,
            reversal_goodput
            / _get_best_goodput(figures, size, CORE_POLICIES[1:]),
        ),
        ('worst of the mean, flood', 0.9, flood['worst'] / flood['mean']),
        (
            'of the bound, steady, without peer news',
            0.95,
            without_peers[STEADY]['goodput'] / without_peers[STEADY]['bound'],
        ),
        (
            'of the bound, reversal, without peer news',
            0.85,
            without_peers[REVERSAL]['goodput']
            / without_peers[REVERSAL]['bound'],
        ),
        (
            'worst of the mean, flood, without peer news',
            0.9,
            without_peers[FLOOD]['worst'] / without_peers[FLOOD]['mean'],
        ),
    )
    return [
        [
            name,
            size.name,
            str(target),
            f'{share:.3f}',
            'met' if share >= target else f'missed by {target - share:.3f}',
        ]
        for name, target, share in checks
    ]


def _list_count_targets(
    figures: dict[Run, Figures], size: FleetSize
) -> list[list[str]]:
    core_runs = {
        run: result
        for run, result in figures.items()
        if run.size == size and run.policy == 'core' and not run.label
    }
    most = max(
        result.most_changes
        for run, result in core_runs.items()
        if run.scenario == REVERSAL
    )
    lost = sum(result.lost for result in core_runs.values())
    checks = (
        ('most role changes of an engine, reversal, any seed', 1, most),
        ('non-repeatable requests lost to a reclaim', 0, lost),
    )
    return [
        [
            name,
            size.name,
            str(limit),
            str(count),
            'met' if count <= limit else f'missed by {count - limit}',
        ]
        for name, limit, count in checks
    ]
