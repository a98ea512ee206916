"""Move a stream off a target that begins to read for long, to one that is free."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from tarragonward_placement import EngineUsage, predict_event_wait, should_migrate
from tarragonward_requests import Exchange

from . import const as c
from .idle_timeout import IdleTimeout
from .state import GatewayState
from .targets import SendChoice, TargetChooser, TargetNeed

__all__ = ["StreamMover"]


class StreamMover:
    """Leaves a request's target where a reading beside it holds the request up.

    is_moving: the target is being left, and the repeat is counted already; were it
    counted later, the budget could be used up by then and the stream broken off. It
    lasts until the send has ended: events that come before that are given on, and a
    move that they ended would need a second repeat.
    """

    def __init__(
        self,
        state: GatewayState,
        chooser: TargetChooser,
        exchange: Exchange,
        build_need: Callable[[], TargetNeed],
    ) -> None:
        self._state = state
        self._chooser = chooser
        self._exchange = exchange
        self._build_need = build_need
        self._loop = asyncio.get_running_loop()
        self.is_moving = False
        self.retry_at: float | None = None

    def consider_move(
        self, choice: SendChoice, idle_timeout: IdleTimeout, work: EngineUsage
    ) -> None:
        """Leave the target where another one would go on in time."""
        need = self._build_need()
        if not self._may_move(need) or not self._gains_by_moving(choice, need, work):
            return
        self._begin_move(need)
        idle_timeout.abandon()

    def try_move_overdue(self) -> bool:
        """Return whether to leave a target whose first event is overdue, and note it.

        A prompt waits unread behind work that nobody told of, at an engine that has
        turned slow, or at a dead one. Symptom: it is late, or ends with its caller's
        patience, though another engine would have read it in time.
        """
        need = self._build_need()
        if self._exchange.is_started or not self._may_move(need):
            return False
        if not self._chooser.allows_cross_cell(need.service):
            return False
        other = self._chooser.find_alternative(need)
        if other is None or other.plan is None:
            return False
        left = need.aim_at - self._loop.time()
        if other.plan.first_event_seconds > left * c.OVERDUE_MAX_MOVE_SHARE:
            return False
        self._begin_move(need)
        return True

    def _begin_move(self, need: TargetNeed) -> None:
        self.is_moving = True
        self.retry_at = self._state.record_repeat(need.service)

    def cancel_move(self) -> None:
        """Give the repeat back where the answer ended before the target was left."""
        if self.is_moving and self.retry_at is not None:
            service = self._build_need().service
            self._state.budget.refund_retry(service, self.retry_at)
        self.is_moving = False

    def _may_move(self, need: TargetNeed) -> bool:
        return (
            not self.is_moving
            and not self._exchange.has_ended
            and self._exchange.can_send_again(self._loop.time())
            and self._state.can_retry(need.service, is_urgent=False)
        )

    def _gains_by_moving(
        self, choice: SendChoice, need: TargetNeed, work: EngineUsage
    ) -> bool:
        plan = choice.plan
        assert plan is not None
        if plan.reserved_tokens:
            return False
        waits = predict_event_wait(work, plan.pass_seconds)
        limit = need.aim_at - self._loop.time()
        if not should_migrate(waits, 0.0, limit):
            return False
        other = self._chooser.find_alternative(need)
        if other is None or other.plan is None or other.plan.reserved_tokens:
            return False
        return should_migrate(waits, other.plan.first_event_seconds, limit)
