"""Detects prompt parts that crash the endpoints that write answers on them.

A part that crashes endpoints is in each prompt under which they end and in no
prompt that is answered in full. Losses of endpoints count against the parts of
all requests that were in flight there; a complete answer clears its parts.
"""

import enum
import hashlib
from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from functools import partial

from clementinedyke.clock import Milliseconds

_DIGEST_BYTES = 8
#: Earlier losses of a part that are not counted again when their evidence
#: arrives late or more than once.
_MAX_CLEARED = 32

#: Address of the endpoint, and its boot id or run id.
LossKey = tuple[str, str]


class PartVerdict(enum.Enum):
    """How requests with certain prompt parts are handled."""

    #: Run the request.
    CLEAR = 'clear'
    #: Run one request with the part at a time: the result clears or convicts.
    TRIAL = 'trial'
    #: Refuse the request: a part was identified as the cause of crashes.
    CONVICTED = 'convicted'


@dataclass(frozen=True, slots=True)
class PartLimits:
    """Limits of :class:`PartCore`; times in milliseconds.

    ``trial_losses``: losses since the last complete answer after which a part
    is on trial. ``proven_losses``: the same for a part that this daemon has
    seen in a complete answer within ``proven_time``.
    ``convicting_trials``: failed trials until a part is convicted; one more if
    it is not clear which part of their prompts was the cause.
    ``settle_time``: time in which a reserved trial is known to all daemons.
    ``trial_lifetime``: time after which a trial of another daemon is no longer
    waited for. ``retrial_time``: time without a loss after which a convicted
    part is tried again; ``doubtful_retrial_time`` if another cause is likely as
    well, doubled with each further trial. ``retention``: time without a loss
    after which a part is forgotten. ``max_parts``: parts that are remembered,
    of each sort.
    """

    trial_losses: int = 2
    proven_losses: int = 5
    proven_time: Milliseconds = 600000
    convicting_trials: int = 2
    settle_time: Milliseconds = 50
    trial_lifetime: Milliseconds = 2000
    retrial_time: Milliseconds = 600000
    doubtful_retrial_time: Milliseconds = 5000
    retention: Milliseconds = 3600000
    max_parts: int = 2000


@dataclass(slots=True)
class _PartRecord:
    """Losses of endpoints under a part since its last complete answer.

    ``losses`` tells for each whether it was a trial. ``changed_at`` is the
    instant of the newest loss.
    """

    changed_at: Milliseconds
    losses: dict[LossKey, bool] = field(default_factory=dict)
    cleared: dict[LossKey, None] = field(default_factory=dict)

    @property
    def failed_trials(self) -> frozenset[LossKey]:
        """Losses that were trials."""
        return frozenset(
            key for key, is_trial in self.losses.items() if is_trial
        )

    def is_explained_by(self, other: '_PartRecord') -> bool:
        """Return whether another part was in flight in all these losses.

        A trial is explained by a trial only.

        :param other: losses of the other part.
        """
        if not self.failed_trials <= other.failed_trials:
            return False
        return self.losses.keys() <= other.losses.keys()


@dataclass(frozen=True, slots=True)
class _Trial:
    """A request that runs although parts of it are on trial."""

    owner: str
    parts: frozenset[str]
    reserved_at: Milliseconds

    def excludes(
        self, parts: Iterable[str], is_proven: Callable[[str], bool]
    ) -> bool:
        """Return whether parts have to wait for this trial.

        Parts known from complete answers do not wait for that of a prompt with
        another one, which is more likely the cause. Otherwise such prompts hold
        the trial of what they share with harmless ones nearly all the time.

        :param parts: suspected parts of another prompt.
        :param is_proven: returns whether a part is known from such an answer.
        """
        if self.parts.isdisjoint(parts):
            return False
        return not all(map(is_proven, parts)) or all(map(is_proven, self.parts))


class PartCore:
    """Decides at one daemon which prompt parts are tried and refused."""

    def __init__(self, limits: PartLimits, owner: str) -> None:
        """Create a core without losses.

        :param limits: limits of the detection.
        :param owner: name of this daemon, which differs from all others.
        """
        self._limits = limits
        self._owner = owner
        self._records: OrderedDict[str, _PartRecord] = OrderedDict()
        #: Instant of the last complete answer by part, oldest first.
        self._proven: OrderedDict[str, Milliseconds] = OrderedDict()
        #: Trials of this daemon by request id.
        self._own_trials: dict[str, _Trial] = {}
        #: Last trial of each other daemon.
        self._other_trials: dict[str, _Trial] = {}

    def record_loss(
        self,
        part: str,
        key: LossKey,
        now: Milliseconds,
        *,
        is_trial: bool,
    ) -> bool:
        """Record an endpoint that ended while it ran a prompt with a part.

        Return whether this was not known.

        :param part: digest of the part.
        :param key: run of the endpoint.
        :param now: current instant.
        :param is_trial: whether the request was a trial of the part.
        """
        record = self._records.setdefault(part, _PartRecord(now))
        if key in record.cleared:
            return False
        is_known = key in record.losses
        if is_known and (record.losses[key] or not is_trial):
            return False
        record.losses[key] = is_trial
        record.changed_at = now
        self._records.move_to_end(part)
        while len(self._records) > self._limits.max_parts:
            self._drop_oldest()
        return True

    def record_completion(
        self, parts: Iterable[str], now: Milliseconds
    ) -> tuple[str, ...]:
        """Record a complete answer.

        Return the parts that are cleared of losses by it, which the other
        daemons have to be told.

        :param parts: digests of the parts of the prompt.
        :param now: current instant.
        """
        cleared = []
        for part in parts:
            self._proven[part] = now
            self._proven.move_to_end(part)
            if self._clear(part):
                cleared.append(part)
        while len(self._proven) > self._limits.max_parts:
            self._proven.popitem(last=False)
        return tuple(cleared)

    def get_verdict(
        self, parts: Sequence[str], now: Milliseconds
    ) -> PartVerdict:
        """Return how a request with certain parts is handled.

        :param parts: digests of all parts that other requests may contain.
        :param now: current instant.
        """
        suspected = self.list_suspected(parts, now)
        if not suspected:
            return PartVerdict.CLEAR
        present = frozenset(parts)
        is_convicted = any(
            self._is_convicted(part, present, now) for part in suspected
        )
        return PartVerdict.CONVICTED if is_convicted else PartVerdict.TRIAL

    def list_suspected(
        self, parts: Sequence[str], now: Milliseconds
    ) -> tuple[str, ...]:
        """Return the parts of a prompt that may be the cause of losses.

        A part is not suspected in a prompt without another part that was in
        flight in all its losses: that one explains them as well. So requests
        with only one of the two tell which one is the cause.

        :param parts: digests of all parts that other requests may contain.
        :param now: current instant.
        """
        if not self._records:
            return ()
        self._remove_expired(now)
        return tuple(
            part
            for part in parts
            if self._has_trial_losses(part, now)
            and not self._is_explained(part, parts, now)
        )

    def count_losses(self, part: str) -> int:
        """Return the losses of a part since its last complete answer.

        :param part: digest of the part.
        """
        record = self._records.get(part)
        return len(record.losses) if record else 0

    def list_losses(self, part: str) -> tuple[tuple[LossKey, bool], ...]:
        """Return the losses of a part, and whether each was a trial.

        :param part: digest of the part.
        """
        record = self._records.get(part)
        return tuple(record.losses.items()) if record else ()

    def has_failed_trial(self, part: str) -> bool:
        """Return whether a trial of a part ended in a loss.

        :param part: digest of the part.
        """
        record = self._records.get(part)
        return record is not None and bool(record.failed_trials)

    def is_proven(self, part: str, now: Milliseconds) -> bool:
        """Return whether this daemon knows a complete answer with a part.

        :param part: digest of the part.
        :param now: current instant.
        """
        completed_at = self._proven.get(part)
        if completed_at is None:
            return False
        return now - completed_at < self._limits.proven_time

    def reserve_trial(
        self, request_id: str, parts: Sequence[str], now: Milliseconds
    ) -> bool:
        """Reserve a trial; return False if a part is already being tried.

        The other daemons have to be told of a new reservation.

        :param request_id: id of the request.
        :param parts: suspected parts of the request.
        :param now: current instant.
        """
        if self._is_tried(request_id, parts, now):
            return False
        trial = _Trial(self._owner, frozenset(parts), now)
        self._own_trials[request_id] = trial
        return True

    def get_settle_time(
        self, request_id: str, now: Milliseconds
    ) -> Milliseconds | None:
        """Return the time in ms until a reserved trial may run.

        None if it is not reserved or if another daemon, which reserved the
        same at the same time, goes first.

        :param request_id: id of the request.
        :param now: current instant.
        """
        trial = self._own_trials.get(request_id)
        if trial is None:
            return None
        is_proven = partial(self.is_proven, now=now)
        for other in self._list_other_trials(now):
            is_first = other.owner < trial.owner
            if is_first and other.excludes(trial.parts, is_proven):
                self._own_trials.pop(request_id)
                return None
        return max(0, trial.reserved_at + self._limits.settle_time - now)

    def is_trial(self, request_id: str) -> bool:
        """Return whether a request runs as a trial.

        A loss then counts as one for all its parts: this daemon may not know
        yet that another one is suspected as well.

        :param request_id: id of the request.
        """
        return request_id in self._own_trials

    def end_trial(self, request_id: str) -> None:
        """Record that a request no longer runs, if it was a trial.

        :param request_id: id of the request.
        """
        self._own_trials.pop(request_id, None)

    def receive_trial(
        self, owner: str, parts: Iterable[str], now: Milliseconds
    ) -> None:
        """Record that another daemon has reserved a trial.

        :param owner: name of the other daemon.
        :param parts: digests of the parts on trial.
        :param now: current instant.
        """
        self._other_trials[owner] = _Trial(owner, frozenset(parts), now)

    def _is_tried(
        self, request_id: str, parts: Sequence[str], now: Milliseconds
    ) -> bool:
        others = [
            trial
            for own_id, trial in self._own_trials.items()
            if own_id != request_id
        ]
        is_proven = partial(self.is_proven, now=now)
        return any(
            trial.excludes(parts, is_proven)
            for trial in (*others, *self._list_other_trials(now))
        )

    def _list_other_trials(self, now: Milliseconds) -> list[_Trial]:
        oldest = now - self._limits.trial_lifetime
        for owner, trial in tuple(self._other_trials.items()):
            if trial.reserved_at < oldest:
                self._other_trials.pop(owner)
        return list(self._other_trials.values())

    def _has_trial_losses(self, part: str, now: Milliseconds) -> bool:
        limits = self._limits
        required = (
            limits.proven_losses
            if self.is_proven(part, now)
            else limits.trial_losses
        )
        return self.count_losses(part) >= required

    def _is_convicted(
        self, part: str, parts: frozenset[str], now: Milliseconds
    ) -> bool:
        """Return whether failed trials identify a part of a prompt.

        A failed trial tells that one of the parts of its prompt is the cause,
        and not one of those known from complete answers. So it counts against
        prompts with all the others.
        """
        record = self._records[part]
        limits = self._limits
        surplus = len(record.failed_trials) - limits.convicting_trials
        if surplus < 0:
            return False
        is_proven = self.is_proven(part, now)
        is_firm = not is_proven and self._is_blamed(
            part, parts, now, only_trials=False
        )
        if is_firm:
            return now - record.changed_at < limits.retrial_time
        retrial_time = limits.doubtful_retrial_time * 2**surplus
        return now - record.changed_at < retrial_time and self._is_blamed(
            part, parts, now, only_trials=not is_proven
        )

    def _is_blamed(
        self,
        part: str,
        parts: frozenset[str],
        now: Milliseconds,
        *,
        only_trials: bool,
    ) -> bool:
        """Return whether enough failed trials speak against a prompt.

        One more is needed if they only have parts of it in common.
        """
        failed_trials = self._records[part].failed_trials
        blamed = [
            self._list_blamed(key, now, only_trials=only_trials) | {part}
            for key in failed_trials
        ]
        required = self._limits.convicting_trials
        if sum(group <= parts for group in blamed) >= required:
            return True
        is_common = frozenset.intersection(*blamed) <= parts
        return only_trials and is_common and len(blamed) > required

    def _list_blamed(
        self, key: LossKey, now: Milliseconds, *, only_trials: bool
    ) -> frozenset[str]:
        """Return the parts that a loss speaks against."""
        return frozenset(
            part
            for part, record in self._records.items()
            if key in record.losses
            and (record.losses[key] or not only_trials)
            and not self.is_proven(part, now)
        )

    def _is_explained(
        self, part: str, parts: Sequence[str], now: Milliseconds
    ) -> bool:
        suspected = self._records[part]
        is_proven = self.is_proven(part, now)
        # Parts with equal losses do not explain each other: prompts with either
        # would all run. One known from complete answers is explained all the
        # same, since it is unlikely to be the cause.
        return any(
            other not in parts
            and suspected.is_explained_by(record)
            and (
                is_proven
                or (
                    len(record.losses) > len(suspected.losses)
                    and not self.is_proven(other, now)
                )
            )
            for other, record in self._records.items()
        )

    def _clear(self, part: str) -> bool:
        record = self._records.get(part)
        if record is None or not record.losses:
            return False
        record.cleared.update(dict.fromkeys(record.losses))
        record.losses.clear()
        while len(record.cleared) > _MAX_CLEARED:
            record.cleared.pop(next(iter(record.cleared)))
        # There is no need to wait for a trial of a part that is cleared.
        for owner, trial in tuple(self._other_trials.items()):
            if part in trial.parts:
                self._other_trials.pop(owner)
        return True

    def _drop_oldest(self) -> None:
        """Drop the oldest part, one without a failed trial if there is any."""
        dropped = next(
            (
                part
                for part, record in self._records.items()
                if not record.failed_trials
            ),
            next(iter(self._records)),
        )
        self._records.pop(dropped)

    def _remove_expired(self, now: Milliseconds) -> None:
        oldest = now - self._limits.retention
        while self._records:
            part, record = next(iter(self._records.items()))
            if record.changed_at > oldest:
                return
            self._records.pop(part)


def compute_part_digest(service: str, part_id: str) -> str:
    """Return the digest of a prompt part within a service.

    :param service: name of the service.
    :param part_id: id by which requests share the part.
    :return: 16 hexadecimal digits.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    digest.update(f'{service}\0{part_id}'.encode())
    return digest.hexdigest()
