"""Share of a demand that a set of engines serves."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import replace

from clementinedyke.clock import Milliseconds
from clementinedyke.roles.types import EngineProfile, ModelDemand
from clementinedyke.routing.types import Role

_TINY = 1e-6


def get_capacity_ratio(
    counts: Counter[Role], demand: ModelDemand, profile: EngineProfile
) -> float:
    """Return how often the engines could serve the demand.

    1 means that they serve it with no time to spare. Mixed engines spend the
    share of their time on prompts that serves most.

    :param counts: number of engines per role.
    :param demand: offered work.
    :param profile: rates of an engine.
    """
    prompt = max(demand.prompt_rate, _TINY)
    output = max(demand.output_rate, _TINY)
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
    """Smoothed demand of a model.

    Carrying the trend on made no difference in the benchmark and is left out.
    """

    def __init__(self, window: Milliseconds) -> None:
        """Create an average without data.

        :param window: time constant of the smoothing.
        """
        self._window = window
        self._updated: Milliseconds = 0
        self._demand: ModelDemand | None = None

    def add(self, demand: ModelDemand, now: Milliseconds) -> ModelDemand:
        """Take a report and return the smoothed demand.

        :param demand: offered work.
        :param now: time of the report.
        """
        former = self._demand or demand
        step = now - self._updated
        weight = step / (self._window + step)
        self._updated = now
        self._demand = replace(
            demand,
            prompt_rate=_blend(former.prompt_rate, demand.prompt_rate, weight),
            output_rate=_blend(former.output_rate, demand.output_rate, weight),
        )
        return self._demand


class DemandTable:
    """Smoothed demand of all models of a service."""

    def __init__(self, window: Milliseconds) -> None:
        """Create a table without models.

        :param window: time constant of the smoothing.
        """
        self._window = window
        self._averages: dict[str, DemandAverage] = {}
        self._demands: dict[str, ModelDemand] = {}

    def apply(self, demands: Iterable[ModelDemand], now: Milliseconds) -> None:
        """Take the demand of all models; the others are forgotten.

        :param demands: offered work per model.
        :param now: time of the report.
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


def _blend(former: float, latest: float, weight: float) -> float:
    return former + weight * (latest - former)
