"""Keep requests within the home regions of their route and client account."""

from __future__ import annotations

from collections.abc import Mapping

from tarragonward_routes import Account, Route

__all__ = ["HomePolicy", "combine_homes"]

ANYWHERE: frozenset[str] = frozenset()


class HomePolicy:
    """The regions of failure domains, and those that a request may be sent to."""

    def __init__(self, regions: Mapping[str, str]) -> None:
        self._regions = regions

    def allows(self, homes: frozenset[str] | None, domain: str) -> bool:
        """Return whether a request with these homes may go to a failure domain.

        A domain whose region is not known is not a home of any request that has homes.
        """
        return homes is None or self._regions.get(domain) in homes


def combine_homes(route: Route, account: Account | None) -> frozenset[str] | None:
    """Return the regions that a request may go to, None if it may go to each.

    Where route and account both have homes, both bind. They may have none in common:
    such a request can't be sent at all.
    """
    found = [
        homes
        for homes in (route.home_regions, account.home_regions if account else ANYWHERE)
        if homes
    ]
    return frozenset.intersection(*found) if found else None
