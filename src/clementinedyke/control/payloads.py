"""Store of the small versioned values that daemons publish to each other."""

from collections.abc import Iterable, Iterator
from itertools import islice

from clementinedyke.control.messages import Member, Payload
from clementinedyke.members.events import (
    Action,
    MembershipOptions,
    PayloadChanged,
)
from clementinedyke.members.table import compute_digests, get_bucket
from clementinedyke.members.update_queue import UpdateQueue


class PayloadStore:
    """Keeps the newest value of each topic and daemon."""

    def __init__(self, own: Member, options: MembershipOptions) -> None:
        """Create an empty store.

        :param own: record of this daemon.
        :param options: size limits in bytes and the number of sends per value.
        """
        self._own = own
        self._options = options
        self._payloads: dict[tuple[str, str], Payload] = {}
        self._pending: UpdateQueue[Payload] = UpdateQueue()

    def get_payload(self, topic: str, daemon_id: str) -> Payload | None:
        """Return the newest value of a daemon, or None if there is none.

        :param topic: name of the topic.
        :param daemon_id: daemon that published it.
        """
        return self._payloads.get((topic, daemon_id))

    def list_topic(self, topic: str) -> list[Payload]:
        """Return the newest value of each daemon for a topic.

        :param topic: name of the topic.
        """
        return [
            payload
            for payload in self._payloads.values()
            if payload.topic == topic
        ]

    def pop_updates(self) -> tuple[Payload, ...]:
        """Return pending values for one message and count them as sent."""
        return self._pending.take(
            self._options.payload_bytes, self._options.payload_sends
        )

    def publish(self, topic: str, content: bytes) -> None:
        """Set this daemon's value of a topic.

        :param topic: name of the topic.
        :param content: encoded value.
        :raises ValueError: if the value is longer than ``payload_limit``.
        """
        if len(content) > self._options.payload_limit:
            raise ValueError(
                f'value of topic {topic!r} is too long: {len(content)} bytes'
            )
        key = (topic, self._own.daemon_id)
        known = self._payloads.get(key)
        version = self._own.run if known is None else known.version + 1
        payload = Payload(topic, self._own.daemon_id, version, content)
        self._payloads[key] = payload
        self._pending.add(key, payload)

    def compute_digests(self) -> tuple[int, ...]:
        """Return one digest of the value versions per bucket of daemons."""
        return compute_digests(
            (payload.daemon_id, payload.version)
            for payload in self._payloads.values()
        )

    def list_buckets(self, buckets: Iterable[int]) -> tuple[Payload, ...]:
        """Return the values of some buckets, at most ``sync_payloads``.

        :param buckets: bucket numbers.
        """
        wanted = set(buckets)
        count = self._options.sync_payloads
        found = (
            payload
            for payload in self._payloads.values()
            if get_bucket(payload.daemon_id) in wanted
        )
        return tuple(islice(found, count))

    def merge(self, payload: Payload) -> Iterator[Action]:
        """Store a value and queue it for other daemons if it is newer.

        :param payload: value received from another daemon.
        """
        key = (payload.topic, payload.daemon_id)
        known = self._payloads.get(key)
        if known is not None and known.version >= payload.version:
            return
        self._payloads[key] = payload
        if payload.daemon_id != self._own.daemon_id:
            self._pending.add(key, payload)
            yield PayloadChanged(payload)
        elif known is not None:
            # The value stems from an earlier run of this daemon. The current
            # value is published again so that it gets a higher version.
            self.publish(payload.topic, known.content)

    def forget(self, daemon_id: str) -> None:
        """Remove the values of a daemon.

        :param daemon_id: daemon that was removed from the members.
        """
        self._payloads = {
            key: payload
            for key, payload in self._payloads.items()
            if payload.daemon_id != daemon_id
        }
