"""Selection of the daemons that try to acquire a lease."""

import hashlib
from collections.abc import Callable, Iterable, Sequence
from functools import partial
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from clementinedyke.control.messages import Member

#: With a single candidate, a lease whose holder dies would stay free until the
#: failure detector reacts; more candidates only add reads of the lease row.
CANDIDATE_COUNT = 3
_WEIGHT_BYTES = 8


def select_candidates(
    scope: str, members: 'Iterable[Member]', count: int = CANDIDATE_COUNT
) -> frozenset[str]:
    """Return the daemons that try to acquire the lease of a scope.

    Uses rendezvous hashing: daemons with the same member list select the same
    candidates, and losing a member replaces only that member.

    :param scope: scope of the lease.
    :param members: live members.
    :param count: maximum number of candidates.
    """
    daemons = [member.daemon_id for member in members]
    return _select_first(scope, daemons, count)


def is_candidate(scope: str, daemon_id: str, daemons: Iterable[str]) -> bool:
    """Return whether a daemon is a candidate for the lease of a scope.

    :param scope: scope of the lease.
    :param daemon_id: daemon to look for.
    :param daemons: live daemons, including ``daemon_id``.
    """
    return daemon_id in _select_first(scope, daemons, CANDIDATE_COUNT)


class CandidateTable:
    """Caches whether this daemon is a candidate until the members change."""

    def __init__(
        self, list_members: Callable[[], 'Sequence[Member]'], daemon_id: str
    ) -> None:
        """Create an empty table.

        :param list_members: returns the live members; it must return a new
            list object whenever they change.
        :param daemon_id: identifier of this daemon.
        """
        self._list_members = list_members
        self._daemon_id = daemon_id
        self._members: Sequence[Member] = ()
        self._known: dict[str, bool] = {}

    def is_candidate(self, scope: str) -> bool:
        """Return whether this daemon is a candidate for the lease of a scope.

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
