"""Share of a demand that a set of engines serves."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from clementinedyke.clock import Milliseconds
from clementinedyke.role_types import EngineProfile, ModelDemand
from clementinedyke.route_types import Role

_TINY = 1e-6


def get_served_share(
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


@dataclass(frozen=True, slots=True)
class _Point:
    prompt_rate: float
    output_rate: float


class DemandForecast:
    """Smoothed demand of a model with its trend."""

    def __init__(self, window: Milliseconds, trend_time: Milliseconds) -> None:
        """Create a forecast without data.

        :param window: time constant of the smoothing.
        :param trend_time: how far the trend is carried on.
        """
        self._window = window
        self._trend_time = trend_time
        self._fast: _Point | None = None
        self._slow: _Point | None = None
        self._updated: Milliseconds = 0
        self._latest: ModelDemand | None = None

    def add(self, demand: ModelDemand, now: Milliseconds) -> None:
        """Take a report.

        :param demand: offered work.
        :param now: time of the report.
        """
        step = now - self._updated
        self._updated = now
        self._latest = demand
        point = _Point(demand.prompt_rate, demand.output_rate)
        self._fast = _smooth(self._fast, point, step / self._window)
        self._slow = _smooth(self._slow, self._fast, step / self._window)

    def get_demand(self) -> ModelDemand | None:
        """Return the demand that is expected soon, None without data."""
        if self._latest is None or self._fast is None or self._slow is None:
            return None
        # The second smoothing lags the first by one window.
        ahead = self._trend_time / self._window
        fast = self._fast
        slow = self._slow
        prompt = fast.prompt_rate + ahead * (
            fast.prompt_rate - slow.prompt_rate
        )
        output = fast.output_rate + ahead * (
            fast.output_rate - slow.output_rate
        )
        latest = self._latest
        return ModelDemand(
            latest.model,
            max(prompt, 0),
            max(output, 0),
            latest.version,
            latest.adapters,
        )


class ForecastTable:
    """Forecasts of all models of a service."""

    def __init__(self, window: Milliseconds, trend_time: Milliseconds) -> None:
        """Create a table without models.

        :param window: time constant of the smoothing.
        :param trend_time: how far the trend is carried on.
        """
        self._window = window
        self._trend_time = trend_time
        self._forecasts: dict[str, DemandForecast] = {}

    def apply(self, demands: Iterable[ModelDemand], now: Milliseconds) -> None:
        """Take the demand of all models; the others are forgotten.

        :param demands: offered work per model.
        :param now: time of the report.
        """
        forecasts = {}
        for demand in demands:
            forecast = self._forecasts.get(demand.model)
            if forecast is None:
                forecast = DemandForecast(self._window, self._trend_time)
            forecast.add(demand, now)
            forecasts[demand.model] = forecast
        self._forecasts = forecasts

    def get_demands(self) -> dict[str, ModelDemand]:
        """Return the expected demand per model."""
        expected = {
            model: forecast.get_demand()
            for model, forecast in self._forecasts.items()
        }
        return {
            model: demand
            for model, demand in expected.items()
            if demand is not None
        }


def _smooth(old: _Point | None, new: _Point, ratio: float) -> _Point:
    if old is None:
        return new
    weight = min(1, ratio / (1 + ratio))
    return _Point(
        old.prompt_rate + weight * (new.prompt_rate - old.prompt_rate),
        old.output_rate + weight * (new.output_rate - old.output_rate),
    )
