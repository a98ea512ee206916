"""Move a request off a target that is delayed by a long prefill or is overdue."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from tarragonward_placement import EngineUsage, predict_event_wait, should_migrate
from tarragonward_requests import Exchange

from . import const as c
from .choices import SendChoice, TargetRequirements
from .idle_timeout import IdleTimeout
from .state import GatewayState
from .targets import TargetChooser

__all__ = ["RequestMover"]


class RequestMover:
    """Decides whether a request abandons its target for a faster one.

    is_moving: the target is being abandoned and the retry is charged already. If it
    were charged later, the budget could be exhausted by then and the stream aborted.
    The flag stays set until the send has ended: events that arrive before that are
    still forwarded, and a move that they cancelled would need a second retry.
    """

    def __init__(
        self,
        state: GatewayState,
        chooser: TargetChooser,
        exchange: Exchange,
        build_requirements: Callable[[], TargetRequirements],
    ) -> None:
        self._state = state
        self._chooser = chooser
        self._exchange = exchange
        self._build_requirements = build_requirements
        self._loop = asyncio.get_running_loop()
        self.is_moving = False
        self.retry_at: float | None = None

    def consider_move(
        self, choice: SendChoice, idle_timeout: IdleTimeout, work: EngineUsage
    ) -> None:
        """Abandon the target if another one would continue in time."""
        requirements = self._build_requirements()
        if not self._may_move(requirements) or not self._gains_by_moving(
            choice, requirements, work
        ):
            return
        self._begin_move(requirements)
        idle_timeout.abandon()

    def try_move_overdue(self) -> bool:
        """Start a move of an overdue request if another target would be in time.

        The prompt may be queued behind work that was not reported, at a slow engine or
        at a dead one. Without the move it would be late, or end when its caller
        disconnects, although another engine could have processed it in time.
        """
        requirements = self._build_requirements()
        if self._exchange.is_streaming or not self._may_move(requirements):
            return False
        if not self._chooser.allows_cross_cell(requirements.service):
            return False
        other = self._chooser.find_alternative(requirements)
        if other is None or other.plan is None:
            return False
        left = requirements.aim_at - self._loop.time()
        if other.plan.first_event_seconds > left * c.OVERDUE_MAX_MOVE_SHARE:
            return False
        self._begin_move(requirements)
        return True

    def reserve_retry(self, requirements: TargetRequirements) -> None:
        """Charge the retry of a send that is being abandoned.

        Requests that leave at the same moment, as those on a lost link do, could
        otherwise all count on the last retry of the budget.
        """
        if not self.is_moving:
            self._begin_move(requirements)

    def _begin_move(self, requirements: TargetRequirements) -> None:
        self.is_moving = True
        self.retry_at = self._state.record_retry(requirements.service)

    def cancel_move(self) -> None:
        """Refund the retry if the answer ended before the target was abandoned."""
        if self.is_moving and self.retry_at is not None:
            service = self._build_requirements().service
            self._state.budget.refund_retry(service, self.retry_at)
        self.is_moving = False

    def _may_move(self, requirements: TargetRequirements) -> bool:
        return (
            not self.is_moving
            and not self._exchange.has_ended
            and self._exchange.can_send_again(self._loop.time())
            and self._state.can_retry(requirements.service, is_urgent=False)
        )

    def _gains_by_moving(
        self, choice: SendChoice, requirements: TargetRequirements, work: EngineUsage
    ) -> bool:
        plan = choice.plan
        assert plan is not None
        if plan.reserved_tokens:
            return False
        waits = predict_event_wait(work, plan.pass_seconds)
        limit = requirements.aim_at - self._loop.time()
        if not should_migrate(waits, 0.0, limit):
            return False
        other = self._chooser.find_alternative(requirements)
        if other is None or other.plan is None or other.plan.reserved_tokens:
            return False
        return should_migrate(waits, other.plan.first_event_seconds, limit)
