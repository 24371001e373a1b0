"""Prompt parts under which endpoints ended, as known to this daemon."""

from collections.abc import Callable, Iterable, Sequence

from clementinedyke.clock import Milliseconds
from clementinedyke.entry.journal import Journal
from clementinedyke.quarantine.core import Evidence
from clementinedyke.quarantine.part_labels import (
    compile_label,
    get_part,
    is_trial_label,
)
from clementinedyke.quarantine.parts import (
    PartCore,
    PartLimits,
    PartVerdict,
)

#: Parts of a lost prompt that are recorded, those with losses first.
_MAX_LABELS = 64
#: Interval at which a request looks whether another one is still on trial.
_TRIAL_INTERVAL: Milliseconds = 25
_LIMITS = PartLimits()
#: Datagrams with each cleared part, since some are lost.
_SENDS = 3


class PartSuspects:
    """Applies and announces what is known of the parts of prompts."""

    def __init__(self, journal: Journal, owner: str) -> None:
        """Create a table without losses.

        :param journal: log of parts on trial and of convicted ones.
        :param owner: name of this daemon.
        """
        self._journal = journal
        self._core = PartCore(_LIMITS, owner)
        #: Remaining sends of each cleared part.
        self._unsent_cleared: dict[str, int] = {}
        self._unsent_trials: dict[str, None] = {}
        #: Called when there is news for the other daemons that can't wait.
        self.urgent_observers: list[Callable[[], None]] = []
        #: Called with the labels of parts that this daemon clears.
        self.clearance_observers: list[Callable[[frozenset[str]], None]] = []

    def get_verdict(
        self, parts: Sequence[str], now: Milliseconds
    ) -> PartVerdict:
        """Return how a request with certain parts is handled.

        :param parts: digests of the shared parts of the prompt.
        :param now: current instant.
        """
        return self._core.get_verdict(parts, now)

    def list_suspected(
        self, parts: Sequence[str], now: Milliseconds
    ) -> tuple[str, ...]:
        """Return the parts that may be the cause of losses.

        :param parts: digests of the shared parts of the prompt.
        :param now: current instant.
        """
        return self._core.list_suspected(parts, now)

    def get_trial_wait(
        self, request_id: str, parts: Sequence[str], now: Milliseconds
    ) -> Milliseconds:
        """Return the time in ms to wait for a trial, 0 if it may run now.

        :param request_id: id of the request.
        :param parts: digests of the shared parts of its prompt.
        :param now: current instant.
        """
        wait = self._core.get_settle_time(request_id, now)
        if wait is not None:
            return wait
        suspected = self._core.list_suspected(parts, now)
        if self._core.reserve_trial(request_id, suspected, now):
            self._unsent_trials.update(dict.fromkeys(suspected))
            self._notify()
        return _TRIAL_INTERVAL

    def end_trial(self, request_id: str) -> None:
        """Record the end of a request, which may have been a trial.

        :param request_id: id of the request.
        """
        self._core.end_trial(request_id)

    def compile_labels(
        self, request_id: str, parts: Sequence[str]
    ) -> tuple[str, ...]:
        """Return the fingerprints that stand for the parts of a lost prompt.

        :param request_id: id of the request.
        :param parts: digests of the shared parts of its prompt.
        """
        listed = sorted(parts, key=self._core.count_losses, reverse=True)
        is_trial = self._core.is_trial(request_id)
        return tuple(
            compile_label(part, is_trial=is_trial)
            for part in listed[:_MAX_LABELS]
        )

    def record_completion(
        self, parts: Iterable[str], now: Milliseconds
    ) -> None:
        """Record a complete answer, which clears the parts of its prompt.

        :param parts: digests of the shared parts of the prompt.
        :param now: current instant.
        """
        cleared = self._core.record_completion(parts, now)
        if cleared:
            self._journal.write('parts_cleared', parts=cleared)
            self._unsent_cleared.update(dict.fromkeys(cleared, _SENDS))
            self._notify()
            labels = frozenset(
                compile_label(part, is_trial=is_trial)
                for part in cleared
                for is_trial in (False, True)
            )
            for observer in self.clearance_observers:
                observer(labels)

    def record_losses(
        self, evidence: Iterable[Evidence], now: Milliseconds
    ) -> list[Evidence]:
        """Record evidence against parts and return the items that are new.

        :param evidence: items whose fingerprints stand for parts.
        :param now: current instant.
        """
        return [item for item in evidence if self._record_loss(item, now)]

    def select_shared(
        self, evidence: Iterable[Evidence], now: Milliseconds
    ) -> tuple[Evidence, ...]:
        """Return the evidence that the other daemons have to know.

        A part that this daemon knows from complete answers is most likely in
        another one soon.

        :param evidence: new items of this daemon.
        :param now: current instant.
        """
        return tuple(
            item
            for item in evidence
            if self.is_suspected(item.fingerprint)
            or not self._core.is_proven(get_part(item.fingerprint), now)
        )

    def is_suspected(self, label: str) -> bool:
        """Return whether a part has several losses since its last answer.

        :param label: fingerprint that stands for the part.
        """
        losses = self._core.count_losses(get_part(label))
        return losses >= _LIMITS.trial_losses

    def must_last(self, label: str) -> bool:
        """Return whether evidence against a part has to outlive the daemons.

        :param label: fingerprint that stands for the part.
        """
        return self._core.has_failed_trial(get_part(label))

    def list_evidence(self, label: str) -> list[Evidence]:
        """Return the evidence against a part since its last answer.

        :param label: fingerprint that stands for the part.
        """
        part = get_part(label)
        return [
            Evidence(
                *key,
                compile_label(part, is_trial=is_trial),
                is_crash=False,
            )
            for key, is_trial in self._core.list_losses(part)
        ]

    def pop_cleared(self) -> list[str]:
        """Return the cleared parts to tell the other daemons."""
        cleared = list(self._unsent_cleared)
        self._unsent_cleared = {
            part: sends - 1
            for part, sends in self._unsent_cleared.items()
            if sends > 1
        }
        return cleared

    def pop_trials(self) -> list[str]:
        """Return the parts on trial to tell the other daemons."""
        tried = list(self._unsent_trials)
        self._unsent_trials.clear()
        return tried

    def receive_cleared(self, parts: Sequence[str], now: Milliseconds) -> None:
        """Apply the cleared parts that another daemon tells.

        :param parts: digests of the parts.
        :param now: current instant.
        """
        self._core.record_completion(parts, now)

    def receive_trials(
        self, owner: str, parts: Sequence[str], now: Milliseconds
    ) -> None:
        """Apply the trials that another daemon tells.

        :param owner: name of the other daemon.
        :param parts: digests of the parts.
        :param now: current instant.
        """
        if parts:
            self._core.receive_trial(owner, parts, now)

    def _record_loss(self, item: Evidence, now: Milliseconds) -> bool:
        part = get_part(item.fingerprint)
        former = self._core.get_verdict((part,), now)
        is_new = self._core.record_loss(
            part,
            (item.endpoint_id, item.boot_id),
            now,
            is_trial=is_trial_label(item.fingerprint),
        )
        verdict = self._core.get_verdict((part,), now)
        if verdict is not former:
            self._journal.write(
                'part_changed',
                part=part,
                former=former.value,
                verdict=verdict.value,
                ends=self._core.count_losses(part),
            )
        return is_new

    def _notify(self) -> None:
        for observer in self.urgent_observers:
            observer()
