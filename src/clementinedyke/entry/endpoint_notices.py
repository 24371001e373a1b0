"""What endpoints ask of this daemon in the heads of their answers."""

from clementinedyke.clock import Milliseconds
from clementinedyke.entry.catalog import EntryEndpoint
from clementinedyke.entry.departures import Departures
from clementinedyke.entry.endpoint_limits import EndpointLimits
from clementinedyke.entry.endpoint_pauses import EndpointPauses
from clementinedyke.entry.endpoint_protocol import AnswerHead
from clementinedyke.entry.journal import Journal


class EndpointNotices:
    """Limits, pauses and departures of endpoints, as their answers tell.

    Each answer of an endpoint passes here, and each send is asked about here
    first. Departures act through the view of the endpoints.
    """

    def __init__(
        self, host: str, departures: Departures, journal: Journal
    ) -> None:
        """Create an instance without notices.

        :param host: name of this host.
        :param departures: runs that leave, shared with the endpoint view.
        :param journal: log of notices.
        """
        self.limits = EndpointLimits(host, journal)
        self.pauses = EndpointPauses(journal)
        self.departures = departures

    def record_answer(
        self,
        endpoint: EntryEndpoint,
        head: AnswerHead,
        sent_at: Milliseconds,
        now: Milliseconds,
    ) -> None:
        """Record what the head of an answer asks for.

        :param endpoint: endpoint that answered.
        :param head: decoded head of the answer.
        :param sent_at: instant at which the request was sent.
        :param now: current instant.
        """
        self.limits.record_answer(endpoint, head.rate_limit, sent_at, now)
        self.pauses.record_answer(endpoint, head.requested_pause, now)
        self.departures.record_answer(
            endpoint, sent_at, now, is_leaving=head.is_leaving
        )

    def may_send(self, endpoint: EntryEndpoint, now: Milliseconds) -> bool:
        """Return whether a request may be sent to an endpoint now.

        :param endpoint: any endpoint.
        :param now: current instant.
        """
        if self.pauses.is_paused(endpoint, now):
            return False
        return self.limits.may_send(endpoint, now)
