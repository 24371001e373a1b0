"""What endpoints ask of this daemon in the heads of their answers."""

from dataclasses import dataclass

from clementinedyke.clock import Clock, Milliseconds
from clementinedyke.entry.catalog import EntryEndpoint
from clementinedyke.entry.departures import Departures
from clementinedyke.entry.endpoint_limits import EndpointLimits
from clementinedyke.entry.endpoint_pauses import EndpointPauses
from clementinedyke.entry.endpoint_protocol import AnswerHead, EndpointProtocol
from clementinedyke.entry.journal import Journal
from clementinedyke.http.client import ResponseStream


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


@dataclass(frozen=True, slots=True)
class AnswerReader:
    """Reads what endpoints ask for in answers that mean nothing else here."""

    notices: EndpointNotices
    protocol: EndpointProtocol
    clock: Clock

    def is_paused(self, endpoint: EntryEndpoint) -> bool:
        """Return whether an endpoint wants no requests of this daemon now.

        :param endpoint: any endpoint.
        """
        return self.notices.pauses.is_paused(endpoint, self.clock.get_now())

    def read(
        self,
        endpoint: EntryEndpoint,
        stream: ResponseStream,
        sent_at: Milliseconds,
    ) -> None:
        """Record what the head of an answer asks for.

        :param endpoint: endpoint that answered.
        :param stream: answer whose head was received.
        :param sent_at: instant at which the request was sent.
        """
        head = self.protocol.read_head(stream.status, stream.headers)
        now = self.clock.get_now()
        self.notices.record_answer(endpoint, head, sent_at, now)
