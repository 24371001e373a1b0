"""Tests of the capacity that engines report."""

import random

import trio

from clementinedyke.clock import MonotonicClock
from clementinedyke.endpoints.registry import EndpointRegistry
from clementinedyke.routing.component import RoutingComponent
from clementinedyke.standins.engine import EngineCapacity, EngineStandin
from http_tools import HOST


async def read_room(capacity: EngineCapacity) -> tuple[float, float]:
    """Return the room of one engine once its state was read."""
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
        room = routing.router.get_free_capacity('s', clock.get_now())
        nursery.cancel_scope.cancel()
    return room.streams, room.prompt_tokens


class TestReportedCapacity:
    """Guards against a daemon that refuses what an engine has room for."""

    def test_replaces_default(self) -> None:
        """The limits of the engine decide, not those of the router."""
        capacity = EngineCapacity(max_streams=500, max_prompt_tokens=90000)
        assert trio.run(read_room, capacity) == (500, 90000)

    def test_nonsense_is_not_taken(self) -> None:
        """A count of zero would stop the service at this daemon."""
        assert trio.run(read_room, EngineCapacity(0, 0)) == (32, 8000)
