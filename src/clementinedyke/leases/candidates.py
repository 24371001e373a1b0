"""Choice of the daemons that seek a lease."""

import hashlib
from collections.abc import Callable, Iterable, Sequence
from functools import partial

from clementinedyke.control.messages import Member

#: With one candidate a lease would wait for the failure detector when its
#: holder dies; more of them only add reads of the lease row.
CANDIDATE_COUNT = 3
_WEIGHT_BYTES = 8


def select_candidates(
    scope: str, members: Iterable[Member], count: int = CANDIDATE_COUNT
) -> frozenset[str]:
    """Return the daemons that seek the lease of a scope.

    Rendezvous hashing: every daemon with the same members finds the same
    answer, and the loss of a member moves no other choice.

    :param scope: scope of the lease.
    :param members: living members.
    :param count: number of candidates.
    """
    daemons = [member.daemon_id for member in members]
    return _select_first(scope, daemons, count)


def is_candidate(scope: str, daemon_id: str, daemons: Iterable[str]) -> bool:
    """Tell whether a daemon seeks the lease of a scope.

    :param scope: scope of the lease.
    :param daemon_id: the daemon.
    :param daemons: living daemons, the one included.
    """
    return daemon_id in _select_first(scope, daemons, CANDIDATE_COUNT)


class CandidateTable:
    """Remembers the candidates of each scope until the members change."""

    def __init__(
        self, list_members: Callable[[], Sequence[Member]], daemon_id: str
    ) -> None:
        """Create an empty table.

        :param list_members: returns the living members; another list object
            means that they have changed.
        :param daemon_id: this daemon.
        """
        self._list_members = list_members
        self._daemon_id = daemon_id
        self._members: Sequence[Member] = ()
        self._known: dict[str, bool] = {}

    def is_candidate(self, scope: str) -> bool:
        """Tell whether this daemon seeks the lease of a scope.

        :param scope: scope of the lease.
        """
        members = self._list_members()
        if members is not self._members:
            self._members = members
            self._known.clear()
        known = self._known.get(scope)
        if known is None:
            known = self._daemon_id in select_candidates(scope, members)
            self._known[scope] = known
        return known


def _select_first(
    scope: str, daemons: Iterable[str], count: int
) -> frozenset[str]:
    weigh = partial(_get_weight, scope)
    return frozenset(sorted(daemons, key=weigh, reverse=True)[:count])


def _get_weight(scope: str, daemon_id: str) -> bytes:
    return hashlib.blake2b(
        f'lease {scope} {daemon_id}'.encode(), digest_size=_WEIGHT_BYTES
    ).digest()
