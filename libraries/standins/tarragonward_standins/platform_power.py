"""Take the runners of the platform's stand-in away and back, and check the recovery."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from .platform_clients import ClientRequest
from .platform_site import PlatformSite

__all__ = ["RECOVERY_SECONDS", "PowerLoss", "find_missing_recovery"]

RECOVERY_SECONDS = 12.0
MIN_SERVED_SHARE = 0.25


@dataclass(frozen=True)
class PowerLoss:
    """The loss of all runners: within spread_seconds, and for down_seconds after it."""

    spread_seconds: float = 0.0
    down_seconds: float = 0.6

    async def async_strike(self, site: PlatformSite) -> None:
        """Crash all runners, in a random order, and start new ones at their addresses.

        The entries of the lost runners stay until they expire.
        """
        lost = [each for each in site.runners if each.is_registered]
        site.random.shuffle(lost)
        crashes = []
        for runner in lost:
            crashes.append(asyncio.create_task(runner.async_crash()))
            await asyncio.sleep(self.spread_seconds / len(lost))
        await asyncio.sleep(self.down_seconds)
        await asyncio.gather(*(site.async_start_again(each) for each in lost))
        site.keep_until_unload(crashes)


def find_missing_recovery(
    requests: Iterable[ClientRequest], fault_at: float, back_at: float
) -> str | None:
    """Return what breaks the rule on recovery, None if it is kept.

    Of the requests sent later than RECOVERY_SECONDS after the machines are back at
    least MIN_SERVED_SHARE is served, if that was so before the fault.
    """
    known = [each for each in requests if each.plan.disconnect_after_seconds is None]
    before = [each for each in known if each.began_at < fault_at]
    after = [each for each in known if each.began_at > back_at + RECOVERY_SECONDS]
    if not after or _compute_share(before) < MIN_SERVED_SHARE:
        return None
    if _compute_share(after) >= MIN_SERVED_SHARE:
        return None
    served = sum(each.is_success for each in after)
    return f"{served} of {len(after)} requests served after the recovery time"


def _compute_share(requests: Sequence[ClientRequest]) -> float:
    if not requests:
        return 0.0
    return sum(each.is_success for each in requests) / len(requests)
