"""Order the requests that wait for scarce places: by urgency, fair between accounts."""

from __future__ import annotations

from bisect import insort
from collections.abc import Iterator
from dataclasses import dataclass

from . import const as c

__all__ = ["WaitOrder", "Waiting"]


@dataclass(frozen=True, eq=False)
class Waiting:
    """A request that waits; urgency 0 is the most urgent, cost is in engine seconds."""

    account: str
    urgency: int
    cost: float
    number: int


# Urgency, start tag and number: what goes first has the lowest.
_Rank = tuple[int, float, int]


class WaitOrder:
    """Start-time fair queueing of the requests that wait at one host.

    More urgent requests go first. Among equally urgent ones each client account gets
    the same cost served in the long run, however many of its requests wait; requests of
    one account go in the order of their arrival. An account that has not waited before
    starts level with the others, so it gains nothing by having been idle.

    Otherwise a client account that asks for many times its share would fill the queue,
    and each request of the others would wait behind all of it, or be refused.
    """

    def __init__(self) -> None:
        self._by_account: dict[str, list[Waiting]] = {}
        # By account: the virtual time at which its next request starts.
        self._next_start: dict[str, float] = {}
        self._virtual_time = 0.0
        self._count = 0
        self._size = 0
        self._first: Waiting | None = None

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return self._size

    @property
    def first(self) -> Waiting | None:
        """Return the request that gets the next place, None if none waits."""
        if self._first is None and self._by_account:
            heads = (waiting[0] for waiting in self._by_account.values())
            self._first = min(heads, key=self._rank_head)
        return self._first

    @property
    def last(self) -> Waiting | None:
        """Return the request that goes last, None if none waits."""
        ranked = max(self._iterate_ranked(), key=lambda item: item[0], default=None)
        return ranked[1] if ranked is not None else None

    def add(self, account: str, urgency: int, cost: float) -> Waiting:
        """Add a request and return its entry."""
        self._count += 1
        waiting = Waiting(account, urgency, cost, self._count)
        entries = self._by_account.setdefault(account, [])
        insort(entries, waiting, key=_order_in_account)
        self._size += 1
        self._first = None
        return waiting

    def remove(self, waiting: Waiting, is_served: bool) -> None:
        """Remove a request, and charge its account if it was served."""
        entries = self._by_account[waiting.account]
        entries.remove(waiting)
        if not entries:
            del self._by_account[waiting.account]
        self._size -= 1
        self._first = None
        if is_served:
            start = self._get_start(waiting.account)
            self._virtual_time = max(self._virtual_time, start)
            self._next_start[waiting.account] = start + waiting.cost
            self._forget_idle_accounts()

    def count_before(self, account: str, urgency: int) -> int:
        """Return how many waiting requests would go before a new one."""
        own = self._by_account.get(account, ())
        ahead = [each for each in own if each.urgency <= urgency]
        start = self._get_start(account) + sum(each.cost for each in ahead)
        rank = urgency, start, self._count + 1
        return sum(other < rank for other, _ in self._iterate_ranked())

    def _rank_head(self, head: Waiting) -> _Rank:
        return head.urgency, self._get_start(head.account), head.number

    def _iterate_ranked(self) -> Iterator[tuple[_Rank, Waiting]]:
        for account, entries in self._by_account.items():
            start = self._get_start(account)
            for waiting in entries:
                yield (waiting.urgency, start, waiting.number), waiting
                start += waiting.cost

    def _get_start(self, account: str) -> float:
        return max(self._virtual_time, self._next_start.get(account, 0.0))

    def _forget_idle_accounts(self) -> None:
        """Forget the accounts that would start at the virtual time anyway.

        Once nothing waits, places are no longer scarce, and all accounts are level.
        """
        if not self._size:
            self._next_start.clear()
        if len(self._next_start) <= c.MAX_REMEMBERED_ACCOUNTS:
            return
        self._next_start = {
            account: start
            for account, start in self._next_start.items()
            if start > self._virtual_time
        }


def _order_in_account(waiting: Waiting) -> tuple[int, int]:
    return waiting.urgency, waiting.number
