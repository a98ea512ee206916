"""Describe what a send needs of its target, and the target that was chosen for it."""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass

from tarragonward_core import Address
from tarragonward_membership import RegisteredTarget
from tarragonward_placement import InFlightPrompt, PrefillPlan
from tarragonward_routes import Route

from . import const as c

__all__ = ["SendChoice", "TargetRequirements"]


@dataclass(frozen=True)
class TargetRequirements:
    """Requirements of a send on its target.

    tokens are those of the prompt and of the answer, None if the request is no prompt.
    """

    service: str
    route: Route
    aim_at: float
    tokens: tuple[int, int] | None = None
    tried: Collection[str] = ()
    # The engine that has to answer, if that is fixed.
    leader: str = ""
    # Whether the verdict on the request is ALONE.
    is_suspect: bool = False
    # The regions that the request may be sent to, None if to each.
    homes: frozenset[str] | None = None

    def allows(self, target: RegisteredTarget) -> bool:
        """Return whether the request may be sent to a target."""
        return target.id not in self.tried or target.id == self.leader


@dataclass
class SendChoice:
    """The target of a send, and the helper engines that share its prefill."""

    target: RegisteredTarget
    helpers: tuple[RegisteredTarget, ...] = ()
    plan: PrefillPlan | None = None
    work: InFlightPrompt | None = None
    ticket: str = ""
    # Whether the send goes through a peer, as this host can't connect to the target.
    is_relayed: bool = False
    # The peer that it goes through.
    relay: Address | None = None
    # The regions whose hosts may relay it, None if all.
    homes: frozenset[str] | None = None
    # On the clock of read_clock(), in seconds.
    sent_at: float | None = None
    answer_began_at: float | None = None
    # Whether events have arrived for a while since the answer began.
    is_steady: bool = False
    # Whether the target refused the request, which then took no place there.
    is_refused: bool = False
    waiting_since: float | None = None
    # Called when events of the answer have arrived.
    on_events: Callable[[], None] = lambda: None

    def record_relay(self, peer: Address) -> None:
        """Record the peer that has connected to the target."""
        self.relay = peer

    def record_first_event(self, now: float) -> None:
        """Record that the first event arrived, so the prefill is complete."""
        if self.work is not None and self.work.first_event_at is None:
            self.work.first_event_at = now

    def compute_silence(self, now: float) -> float:
        """Return for how many seconds no event has arrived, 0.0 before the first."""
        return 0.0 if self.waiting_since is None else now - self.waiting_since

    def has_become_steady(self, now: float) -> bool:
        """Return, once, whether events have arrived for a while since the first."""
        if self.is_steady or self.answer_began_at is None:
            return False
        self.is_steady = now >= self.answer_began_at + c.STEADY_STREAM_SECONDS
        return self.is_steady

    def compute_pace(self, events: int, now: float) -> float | None:
        """Return the ratio of observed to published time per decode pass.

        Each event takes one pass. None for the first event, which includes the prefill.
        """
        waiting_since = self.waiting_since
        if waiting_since is None or self.plan is None or not self.plan.pass_seconds:
            return None
        return (now - waiting_since) / events / self.plan.pass_seconds

    @property
    def predicted_at(self) -> float | None:
        """Return the predicted time of the first event, None without a plan."""
        if self.plan is None or self.work is None:
            return None
        return self.work.placed_at + self.plan.first_event_seconds

    @property
    def helpers_header(self) -> str:
        """Return the value of the header that names the helpers to the target."""
        assert self.plan is not None
        tickets = self.plan.reserved_tokens
        return ",".join(
            f"{helper.address}/{self.ticket}"
            if helper.id in tickets
            else str(helper.address)
            for helper in self.helpers
        )

    @property
    def needs_reservation(self) -> bool:
        """Return whether memory has to be reserved on other engines."""
        return self.plan is not None and bool(self.plan.reserved_tokens)
