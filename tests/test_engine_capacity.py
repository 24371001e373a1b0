"""Tests of the capacity limits reported by engines."""

import random

import trio

from clementinedyke.clock import MonotonicClock
from clementinedyke.endpoints.registry import EndpointRegistry
from clementinedyke.routing.component import RoutingComponent
from clementinedyke.standins.engine import EngineCapacity, EngineStandin
from http_tools import HOST


async def read_free_capacity(capacity: EngineCapacity) -> tuple[float, float]:
    """Return the free capacity of one engine after its state was polled.

    Returns the router's default limits if none arrive within 1 s.
    """
    engine = EngineStandin('m', capacity=capacity)
    registry, clock = EndpointRegistry(), MonotonicClock()
    routing = RoutingComponent(registry, clock, 'zone-a', random.Random(1))
    async with trio.open_nursery() as nursery:
        port = await engine.start(nursery, HOST, 0)
        registry.replace(
            b'[{"endpoint_id":"e","service":"s","availability_zone":"zone-a",'
            b'"address":"%b:%d"}]' % (HOST.encode(), port)
        )
        await routing.start(nursery)
        with trio.move_on_after(1):
            while (
                routing.router.get_free_capacity('s', clock.get_now()).streams
                == 32
            ):
                await trio.sleep(0.01)
        capacity_left = routing.router.get_free_capacity('s', clock.get_now())
        nursery.cancel_scope.cancel()
    return capacity_left.streams, capacity_left.prompt_tokens


class TestReportedCapacity:
    """Guards against refusing requests that an engine has capacity for."""

    def test_reported_limits_replace_defaults(self) -> None:
        """Limits reported by the engine replace the router's defaults."""
        capacity = EngineCapacity(max_streams=500, max_prompt_tokens=90000)
        assert trio.run(read_free_capacity, capacity) == (500, 90000)

    def test_invalid_limits_are_ignored(self) -> None:
        """Limits of zero are ignored.

        They would stop all requests of this daemon to the service.
        """
        assert trio.run(read_free_capacity, EngineCapacity(0, 0)) == (32, 8000)
