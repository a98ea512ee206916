"""Decide how long a send waits for its next event, and whether it may be abandoned."""

from __future__ import annotations

import asyncio

from tarragonward_placement import PrefillPlan
from tarragonward_requests import Exchange

from . import const as c
from .choices import SendChoice
from .context import ForwardContext
from .idle_timeout import IdleTimeout
from .moving import RequestMover
from .placing import SendPlacer
from .state import GatewayState
from .targets import TargetChooser

__all__ = ["IdlePolicy"]


class IdlePolicy:
    """Builds the idle timeouts of one request's sends."""

    def __init__(
        self,
        state: GatewayState,
        chooser: TargetChooser,
        exchange: Exchange,
        placer: SendPlacer,
        mover: RequestMover,
        context: ForwardContext,
    ) -> None:
        assert context.route is not None
        self._state = state
        self._chooser = chooser
        self._exchange = exchange
        self._placer = placer
        self._mover = mover
        self._context = context
        self._route = context.route
        self._loop = asyncio.get_running_loop()

    def limits_silence(self, choice: SendChoice) -> bool:
        """Return whether a send may be left for its silence, or for unused memory."""
        return self._exchange.policy.may_run_again or choice.needs_reservation

    def build_timeout(self, choice: SendChoice, plan: PrefillPlan) -> IdleTimeout:
        """Return the idle timeout of a send."""
        aim = max(self._route.aim_seconds, c.SILENCE_MIN_FIRST_SECONDS)
        pause = c.SILENCE_PAUSE_FACTOR * self._route.pause_aim_seconds
        return IdleTimeout(
            c.SILENCE_FIRST_EVENT_FACTOR * plan.first_event_seconds + aim,
            max(pause, c.SILENCE_MIN_PAUSE_SECONDS),
            lambda: self._may_leave(choice, plan),
            c.OVERDUE_FACTOR * plan.first_event_seconds + c.OVERDUE_MARGIN_SECONDS,
            self._mover.try_move_overdue,
            c.STALLED_PAUSE_FACTOR * self._route.pause_aim_seconds,
            lambda: self._check_link(choice),
        )

    def _check_link(self, choice: SendChoice) -> None:
        """Connect to the target of a stalled stream, in case its link is lost.

        On a host with few requests no other one may show it in time.
        """
        if not choice.is_relayed:
            self._chooser.probes.check_in_background(choice.target)

    def _may_leave(self, choice: SendChoice, plan: PrefillPlan) -> bool:
        # After the first event only the end of the connection shows that an engine is
        # gone. A silent engine may still be working and another one may refuse, which
        # would abort a stream that would have completed. Before the first event the
        # caller has nothing to lose, and on a lost link no event follows.
        is_streaming = self._exchange.is_streaming
        if is_streaming and not self._chooser.paths.has_lost_link(choice):
            return False
        now = self._loop.time()
        seconds_left = self._context.deadline - now
        may_send = (
            self._exchange.can_send_again(now)
            and seconds_left
            > plan.first_event_seconds + c.SILENCE_MIN_REMAINING_SECONDS
            and self._state.can_retry(self._context.service, is_urgent=is_streaming)
        )
        # Without an alternative, a request that waits at a busy engine would be
        # abandoned with nowhere to go, and its caller told that it may have run.
        need = self._placer.build_requirements()
        if not may_send or self._chooser.find_alternative(need) is None:
            return False
        self._mover.reserve_retry(need)
        return True
