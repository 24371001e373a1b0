"""Start-time fair queueing of requests across customers, in tokens."""

import heapq
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from clementinedyke.clock import Milliseconds


@dataclass(frozen=True, slots=True, order=True)
class QueuedRequest:
    """A queued request; requests sort by ``start_by``, earliest first.

    ``cost`` is the estimated work in tokens; it includes ``prompt_tokens``.
    """

    start_by: Milliseconds
    request_id: str
    customer: str = field(compare=False)
    cost: int = field(compare=False)
    prompt_tokens: int = field(compare=False)


class _Flow:
    """Queue and virtual time of one customer; ``queued`` is in tokens."""

    __slots__ = ('adjustment', 'heap', 'queued', 'virtual_time', 'weight')

    def __init__(self, weight: float, virtual_time: float) -> None:
        self.weight = weight
        self.virtual_time = virtual_time
        self.heap: list[QueuedRequest] = []
        self.queued = 0
        self.adjustment = float(0)


class FairQueue:
    """Queue of one service that is fair to customers by weight.

    Each started request advances the virtual time of its customer by cost
    divided by weight. The customer with the lowest virtual time is next. Among
    the requests of a customer the earliest deadline is next, so that short
    requests overtake long ones.
    """

    def __init__(self, max_lead: float) -> None:
        """Create an empty queue.

        :param max_lead: maximum, in tokens divided by weight, by which
            consumption at other daemons can advance the virtual time of a
            customer beyond that of the queue.
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
        """Replace the weights of customers; others have weight 1.

        :param weights: positive weight per customer.
        """
        self._weights = weights
        for customer, flow in self._flows.items():
            flow.weight = weights.get(customer, 1)

    def get_virtual_time(self, customer: str) -> float:
        """Return the virtual time of a customer.

        It is never lower than the virtual time of the queue, which is the
        highest start tag of the started requests.

        :param customer: any customer.
        """
        flow = self._flows.get(customer)
        lowest = self._virtual_time
        return max(flow.virtual_time, lowest) if flow else lowest

    def get_backlog(self, customer: str) -> tuple[int, int]:
        """Return the number and the total cost of queued requests.

        :param customer: any customer.
        """
        flow = self._flows.get(customer)
        return (len(flow.heap), flow.queued) if flow else (0, 0)

    def push(self, request: QueuedRequest) -> None:
        """Add a request.

        :param request: request whose identifier is not in the queue.
        """
        flow = self._get_flow(request.customer)
        if not flow.heap:
            # An idle customer does not accumulate unused share.
            flow.virtual_time = max(flow.virtual_time, self._virtual_time)
        heapq.heappush(flow.heap, request)
        flow.queued += request.cost
        self._requests[request.request_id] = request

    def pop(
        self, can_start: Callable[[str], bool] | None = None
    ) -> QueuedRequest | None:
        """Remove and return the next request, or None.

        :param can_start: returns whether requests of a customer are
            considered; None considers all customers.
        """
        waiting = [
            flow
            for customer, flow in self._flows.items()
            if flow.heap and (can_start is None or can_start(customer))
        ]
        if not waiting:
            return None
        flow = min(waiting, key=_get_virtual_time)
        request = heapq.heappop(flow.heap)
        self._requests.pop(request.request_id)
        flow.queued -= request.cost
        self._virtual_time = max(self._virtual_time, flow.virtual_time)
        self._charge(flow, request.cost)
        return request

    def remove(self, request_id: str) -> QueuedRequest | None:
        """Remove and return a request, or None if it is not queued.

        :param request_id: identifier of the request.
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
        """Advance the virtual time of a customer by remote consumption.

        :param customer: any customer.
        :param tokens: tokens consumed at other daemons since the last call.
        """
        flow = self._get_flow(customer)
        start = max(flow.virtual_time, self._virtual_time)
        limit = max(flow.virtual_time, self._virtual_time + self._max_lead)
        flow.virtual_time = min(start + tokens / flow.weight, limit)

    def adjust(self, customer: str, tokens: float) -> None:
        """Correct the estimated cost of a started request.

        The difference is charged with the next request of the customer.

        :param customer: customer of the request.
        :param tokens: actual cost minus estimated cost.
        """
        self._get_flow(customer).adjustment += tokens

    def estimate_work_ahead(self, request: QueuedRequest) -> float:
        """Return the estimated tokens that start before a request.

        :param request: request that has not been queued.
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
        """Remove customers without queued requests or a lead."""
        idle = [
            customer
            for customer, flow in self._flows.items()
            if not flow.heap and flow.virtual_time <= self._virtual_time
        ]
        for customer in idle:
            self._flows.pop(customer)

    def _charge(self, flow: _Flow, cost: int) -> None:
        # Virtual time must not decrease, so an overestimate of earlier
        # requests is deducted from the charges for later ones.
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


def _get_virtual_time(flow: _Flow) -> float:
    return flow.virtual_time
