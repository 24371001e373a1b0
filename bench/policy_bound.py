"""Computes the demand of requests and the upper bound on goodput."""

import math
from collections import Counter

from bench.policy_load import DECODE_RATE, PREFILL_RATE, Request
from clementinedyke.roles.capacity import get_capacity_ratio
from clementinedyke.roles.types import EngineProfile, ModelDemand
from clementinedyke.routing.types import Role

#: Rates of the fake engines in tokens/s. A step has 2,048 prompt tokens or 64
#: streams, a step of a mixed engine 256 prompt tokens and 64 streams.
PROFILE = EngineProfile(
    prefill_rate=PREFILL_RATE,
    decode_rate=DECODE_RATE,
    mixed_prefill_rate=4200,
    mixed_decode_rate=1050,
)
#: Interval for which the bound is computed at a time.
STEP_MS = 5000


def get_demand(requests: list[Request], start: int, end: int) -> ModelDemand:
    """Return the mean demand in a time window, given an ideal prefix cache.

    :param requests: all requests of a run.
    :param start: start of the window in milliseconds.
    :param end: end of the window in milliseconds, exclusive.
    """
    selected = [
        item
        for item in requests
        if start <= item.at < end and item.service == 'chat'
    ]
    seconds = (end - start) / 1000
    prompt = sum(item.prompt_tokens - item.shared_tokens for item in selected)
    output = sum(item.output_tokens for item in selected)
    return ModelDemand('model', prompt / seconds, output / seconds)


def get_ideal_capacity_ratio(engines: float, demand: ModelDemand) -> float:
    """Return the ratio of the capacity of engines to a demand.

    The engines either change roles at no cost or are all mixed, whichever has
    the higher capacity. The ratio is infinite without demand.

    :param engines: number of engines.
    :param demand: demand in tokens/s.
    """
    work = demand.prompt_rate / PREFILL_RATE + demand.output_rate / DECODE_RATE
    if not work:
        return math.inf
    mixed = get_capacity_ratio(Counter({Role.MIXED: 1}), demand, PROFILE)
    return engines * max(1 / work, mixed)


def get_bound(
    requests: list[Request], engines: list[int], start: int, end: int
) -> float:
    """Return the share of requests that an ideal fleet serves.

    The ideal fleet has the engines that were up in each second, an ideal
    prefix cache and no queueing. Fractions of engines change roles at no cost,
    or all are mixed if that serves more. Under overload it serves an equal
    share of each request class.

    :param requests: all requests of a run.
    :param engines: number of engines that are up, by second.
    :param start: start of the window in milliseconds.
    :param end: end of the window in milliseconds, exclusive.
    """
    served = float(0)
    total = 0
    for step_start in range(start, end, STEP_MS):
        demand = get_demand(requests, step_start, step_start + STEP_MS)
        arrivals = sum(
            step_start <= item.at < step_start + STEP_MS
            and item.service == 'chat'
            for item in requests
        )
        counts = engines[step_start // 1000 : (step_start + STEP_MS) // 1000]
        mean = sum(counts) / max(1, len(counts))
        served += arrivals * min(1, get_ideal_capacity_ratio(mean, demand))
        total += arrivals
    return served / max(1, total)
