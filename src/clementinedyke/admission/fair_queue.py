"""Start-time fair queueing of requests over customers, in tokens."""

import heapq
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from clementinedyke.clock import Milliseconds


@dataclass(frozen=True, slots=True, order=True)
class QueuedRequest:
    """A queued request; the one with the earliest deadline comes first.

    ``cost`` is in tokens, ``prompt_tokens`` the part of it that is prompt.
    """

    start_by: Milliseconds
    request_id: str
    customer: str = field(compare=False)
    cost: int = field(compare=False)
    prompt_tokens: int = field(compare=False)


class _Flow:
    """Queue and virtual time of one customer."""

    __slots__ = ('adjustment', 'heap', 'queued', 'virtual_time', 'weight')

    def __init__(self, weight: float, virtual_time: float) -> None:
        self.weight = weight
        self.virtual_time = virtual_time
        self.heap: list[QueuedRequest] = []
        self.queued = 0
        self.adjustment = float(0)


class FairQueue:
    """Queue of one service, shared fairly by the weights of its customers.

    The virtual time of a customer advances by its tokens over its weight, and
    the customer with the lowest one is next. Within a customer the earliest
    deadline is next, so that short look-ups pass long reviews.
    """

    def __init__(self, max_lead: float) -> None:
        """Create an empty queue.

        :param max_lead: tokens over weight by which work at other daemons
            can put a customer behind the others here.
        """
        self._max_lead = max_lead
        self._weights: Mapping[str, float] = {}
        self._flows: dict[str, _Flow] = {}
        self._requests: dict[str, QueuedRequest] = {}
        self._virtual_time = float(0)

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self._requests)

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Take the weights of customers; others have weight 1.

        :param weights: positive weight per customer.
        """
        self._weights = weights
        for customer, flow in self._flows.items():
            flow.weight = weights.get(customer, 1)

    def get_virtual_time(self, customer: str) -> float:
        """Return the virtual time of a customer.

        That of a customer without work here is the start tag of the request
        that was started last.

        :param customer: any customer.
        """
        flow = self._flows.get(customer)
        lowest = self._virtual_time
        return max(flow.virtual_time, lowest) if flow else lowest

    def get_backlog(self, customer: str) -> tuple[int, int]:
        """Return the number of queued requests of a customer and their cost.

        :param customer: any customer.
        """
        flow = self._flows.get(customer)
        return (len(flow.heap), flow.queued) if flow else (0, 0)

    def push(self, request: QueuedRequest) -> None:
        """Add a request.

        :param request: request whose identity is not queued.
        """
        flow = self._get_flow(request.customer)
        if not flow.heap:
            # A customer that was idle does not keep unused share.
            flow.virtual_time = max(flow.virtual_time, self._virtual_time)
        heapq.heappush(flow.heap, request)
        flow.queued += request.cost
        self._requests[request.request_id] = request

    def pop(
        self, may_start: Callable[[str], bool] | None = None
    ) -> QueuedRequest | None:
        """Remove and return the next request, None if there is none.

        :param may_start: tells which customers are considered.
        """
        waiting = [
            flow
            for customer, flow in self._flows.items()
            if flow.heap and (may_start is None or may_start(customer))
        ]
        if not waiting:
            return None
        flow = min(waiting, key=_get_flow_time)
        request = heapq.heappop(flow.heap)
        self._requests.pop(request.request_id)
        flow.queued -= request.cost
        self._virtual_time = max(self._virtual_time, flow.virtual_time)
        self._charge(flow, request.cost)
        return request

    def remove(self, request_id: str) -> QueuedRequest | None:
        """Remove a request that is not to start.

        :param request_id: request that may not be queued.
        """
        request = self._requests.pop(request_id, None)
        if request is not None:
            flow = self._flows[request.customer]
            flow.heap.remove(request)
            heapq.heapify(flow.heap)
            flow.queued -= request.cost
        return request

    def pop_expired(self, now: Milliseconds) -> list[QueuedRequest]:
        """Remove and return the requests whose deadline has passed.

        :param now: current time.
        """
        expired = []
        for flow in self._flows.values():
            while flow.heap and flow.heap[0].start_by < now:
                request = heapq.heappop(flow.heap)
                self._requests.pop(request.request_id)
                flow.queued -= request.cost
                expired.append(request)
        return expired

    def add_remote_consumption(self, customer: str, tokens: float) -> None:
        """Advance a customer by its work at other daemons.

        :param customer: any customer.
        :param tokens: tokens since the last call.
        """
        flow = self._get_flow(customer)
        start = max(flow.virtual_time, self._virtual_time)
        limit = max(flow.virtual_time, self._virtual_time + self._max_lead)
        flow.virtual_time = min(start + tokens / flow.weight, limit)

    def adjust(self, customer: str, tokens: float) -> None:
        """Correct the cost of a started request with its next one.

        :param customer: customer of the request.
        :param tokens: actual cost less the estimate.
        """
        self._get_flow(customer).adjustment += tokens

    def get_work_ahead(self, request: QueuedRequest) -> float:
        """Return the tokens expected to start before a request.

        :param request: request that is not queued yet.
        """
        total = sum(flow.queued for flow in self._flows.values())
        flow = self._flows.get(request.customer)
        own = float(0)
        if flow is not None:
            own = sum(
                other.cost
                for other in flow.heap
                if other.start_by <= request.start_by
            )
            lead = max(0, flow.virtual_time - self._virtual_time)
            own += lead * flow.weight
        weight = self._weights.get(request.customer, 1)
        others = sum(
            peer.weight
            for peer in self._flows.values()
            if peer.heap and peer is not flow
        )
        return min(total, own * (weight + others) / weight)

    def remove_idle_customers(self) -> None:
        """Forget customers whose state is that of a new one."""
        idle = [
            customer
            for customer, flow in self._flows.items()
            if not flow.heap and flow.virtual_time <= self._virtual_time
        ]
        for customer in idle:
            self._flows.pop(customer)

    def _charge(self, flow: _Flow, cost: int) -> None:
        # Virtual time never goes back: an overestimate of former requests
        # makes later ones free instead.
        charge = cost + flow.adjustment
        flow.adjustment = min(charge, 0)
        flow.virtual_time += max(charge, 0) / flow.weight

    def _get_flow(self, customer: str) -> _Flow:
        flow = self._flows.get(customer)
        if flow is None:
            weight = self._weights.get(customer, 1)
            flow = _Flow(weight, self._virtual_time)
            self._flows[customer] = flow
        return flow


def _get_flow_time(flow: _Flow) -> float:
    return flow.virtual_time
