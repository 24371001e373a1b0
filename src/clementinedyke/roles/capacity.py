"""Capacity of a set of engines relative to the demand of a model."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import replace

from clementinedyke.clock import Milliseconds
from clementinedyke.roles.types import EngineProfile, ModelDemand
from clementinedyke.routing.types import Role

_MIN_RATE = 1e-6


def get_capacity_ratio(
    counts: Counter[Role], demand: ModelDemand, profile: EngineProfile
) -> float:
    """Return the capacity of the engines as a multiple of the demand.

    At 1 the engines are fully used; below 1 they cannot serve all of the
    demand. Mixed engines divide their time between prefill and decode such
    that the ratio is highest.

    :param counts: number of engines per role.
    :param demand: demand of one model in tokens/s.
    :param profile: token rates of an engine.
    """
    prompt = max(demand.prompt_rate, _MIN_RATE)
    output = max(demand.output_rate, _MIN_RATE)
    mixed = counts[Role.MIXED]
    prefill = counts[Role.PREFILL] * profile.prefill_rate / prompt
    decode = (counts[Role.DECODE] + mixed) * profile.decode_rate / output
    gain = mixed * profile.mixed_prefill_rate / prompt
    lost_rate = profile.decode_rate - profile.mixed_decode_rate
    loss = mixed * lost_rate / output
    if gain + loss == 0:
        return min(prefill, decode)
    share = min(1, max(0, (decode - prefill) / (gain + loss)))
    return min(prefill + share * gain, decode - share * loss)


class DemandAverage:
    """Exponentially smoothed demand of a model.

    The trend is not extrapolated: it made no difference in the benchmark.
    """

    def __init__(self, window: Milliseconds) -> None:
        """Create an average without samples.

        :param window: time constant of the smoothing in milliseconds.
        """
        self._window = window
        self._updated: Milliseconds = 0
        self._demand: ModelDemand | None = None

    def add(self, demand: ModelDemand, now: Milliseconds) -> ModelDemand:
        """Add a sample and return the smoothed demand.

        :param demand: reported demand.
        :param now: time of the report in milliseconds.
        """
        previous = self._demand or demand
        step = now - self._updated
        weight = step / (self._window + step)
        self._updated = now
        self._demand = replace(
            demand,
            prompt_rate=_interpolate(
                previous.prompt_rate, demand.prompt_rate, weight
            ),
            output_rate=_interpolate(
                previous.output_rate, demand.output_rate, weight
            ),
        )
        return self._demand


class DemandTable:
    """Smoothed demand of all models of a service."""

    def __init__(self, window: Milliseconds) -> None:
        """Create a table without models.

        :param window: time constant of the smoothing in milliseconds.
        """
        self._window = window
        self._averages: dict[str, DemandAverage] = {}
        self._demands: dict[str, ModelDemand] = {}

    def apply(self, demands: Iterable[ModelDemand], now: Milliseconds) -> None:
        """Update the demand of all models; models not reported are removed.

        :param demands: reported demand of each model.
        :param now: time of the report in milliseconds.
        """
        averages = {}
        smoothed = {}
        for demand in demands:
            average = self._averages.get(demand.model)
            if average is None:
                average = DemandAverage(self._window)
            smoothed[demand.model] = average.add(demand, now)
            averages[demand.model] = average
        self._averages = averages
        self._demands = smoothed

    def get_demands(self) -> dict[str, ModelDemand]:
        """Return the smoothed demand per model."""
        return self._demands


def _interpolate(previous: float, latest: float, weight: float) -> float:
    return previous + weight * (latest - previous)
