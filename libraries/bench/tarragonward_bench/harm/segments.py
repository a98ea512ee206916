"""Randomised runs of prompts, no two alike, with segments that crash targets."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from .crashes import CrashPlan, CrashRequest, CrashRun
from .host import GossipHost

__all__ = ["SegmentPlan", "SegmentRun", "run_segment_seed"]

# The requirement of the users: connected hosts refuse a segment after five crashes;
# more than MAX_LATE_SENDS sends after that violate it.
KNOWN_AFTER_CRASHES = 5
CONNECTED_SECONDS = 3.0
MAX_LATE_SENDS = 3
# Sound prompts may be refused at most this often once the segments are known.
MAX_REFUSED_SHARE = 0.1
MIN_SOUND_PROMPTS = 20
COMMON_SEGMENT = b"common.."
CRASHING_BODY_BYTES = 900
RETRY_SECONDS = (0.0, 0.05)
SESSIONS = 12
NEW_SESSION_CHANCE = 0.02
SESSION_CHANCE = 0.5
QUIET_SECONDS = 3.0
TURN_SECONDS = 8.0
FLEET_SIZES = (5, 9)
NEVER = float("inf")


@dataclass(frozen=True)
class SegmentPlan(CrashPlan):
    """The settings of one run; crashing prompts come for each segment by itself.

    turning_share is the share of the other prompts with a segment that is harmless for
    TURN_SECONDS and crashes targets from then on.
    """

    crashing_requests: int = 0
    crashing_segments: int = 1
    crashing_per_second: float = 1.4
    accounts: int = 4
    has_mass_crashes: bool = True
    turning_share: float = 0.0


@dataclass(eq=False)
class _CrashingSegment:
    fingerprint: bytes
    prompts: list[CrashRequest] = field(default_factory=list)

    @property
    def crash_times(self) -> list[float]:
        times: dict[int, float] = {}
        for prompt in self.prompts:
            for boot, at in prompt.crashed_boots.items():
                times[boot] = min(at, times.get(boot, at))
        return sorted(times.values())

    def count_late_sends(self) -> int:
        crash_times = self.crash_times
        if len(crash_times) < KNOWN_AFTER_CRASHES:
            return 0
        known_at = crash_times[KNOWN_AFTER_CRASHES - 1] + CONNECTED_SECONDS
        return sum(
            has_been_connected and at > known_at
            for prompt in self.prompts
            for at, has_been_connected in prompt.sends
        )


class SegmentRun(CrashRun):
    """One run: sound prompts of sessions, and prompts with segments that crash."""

    def __init__(self, plan: SegmentPlan, seed: int) -> None:
        super().__init__(plan, seed)
        self.plan: SegmentPlan = plan
        self.segments = [
            _CrashingSegment(b"deadly%02d" % number)
            for number in range(plan.crashing_segments)
        ]
        self._turning = _CrashingSegment(b"turning.")
        self._turns_at = NEVER
        self._sessions = [self._create_fingerprint() for _ in range(SESSIONS)]
        self._sound: list[tuple[float, CrashRequest]] = []
        self._retried: set[CrashRequest] = set()

    def begin_segments(self, begin: float) -> None:
        """Schedule the prompts with each segment after some time without them."""
        for segment in self.segments:
            delay = QUIET_SECONDS + self.random.random()
            self.world.schedule_at(
                begin + delay, lambda each=segment: self._send_crashing(each)
            )
        if self.plan.turning_share:
            self.segments.append(self._turning)
            self._turns_at = begin + TURN_SECONDS

    def build_sound_request(self) -> CrashRequest:
        """Return a new prompt of a session, or of none.

        Only a segment that was harmless until now may crash targets.
        """
        segments = (COMMON_SEGMENT,)
        if self.random.random() < SESSION_CHANCE:
            segments += (self._draw_session(),)
        if self.plan.turning_share and self.random.random() < self.plan.turning_share:
            segments += (self._turning.fingerprint,)
        size, fingerprint = self.random.randrange(2_000), self._create_fingerprint()
        has_turned = self.world.now >= self._turns_at
        crashes = has_turned and segments[-1] == self._turning.fingerprint
        request = CrashRequest(fingerprint, size, crashes, segments)
        request.account = self.random.randrange(self.plan.accounts)
        if crashes:
            self._turning.prompts.append(request)
        else:
            self._sound.append((self.world.now, request))
        return request

    def handle_ended(self, request: CrashRequest, at_host: GossipHost) -> None:
        """Let the caller of a prompt that failed repeat it once, at any host."""
        if request in self._retried or not request.segments:
            return
        self._retried.add(request)
        delay = self.random.uniform(*RETRY_SECONDS)
        self.world.schedule_after(delay, lambda: self.submit(request))

    def describe(self) -> str:
        """Return the run's figures."""
        crashes = ",".join(str(len(each.crash_times)) for each in self.segments)
        late = ",".join(str(each.count_late_sends()) for each in self.segments)
        counts = self.count_sound()
        return (
            f"segments asked={self.request_count} answered={self.answer_count} "
            f"sound={counts['sent']} sound_answered={counts['answered']} "
            f"sound_refused={counts['refused']} late_refused={counts['late_refused']}"
            f"/{counts['late']} targets_ended={crashes or 0} late_sends={late or 0}"
        )

    def count_sound(self) -> Counter[str]:
        """Return how many sound prompts were sent, answered and refused.

        The late ones came later than twice CONNECTED_SECONDS after the fifth crash, or
        after the last if there are fewer, at hosts that had been connected.
        """
        counts: Counter[str] = Counter()
        known = [each.crash_times[:KNOWN_AFTER_CRASHES] for each in self.segments]
        known_at = max((times[-1] for times in known if times), default=0.0)
        for at, request in self._sound:
            is_late = request.is_in_touch and at > known_at + 2 * CONNECTED_SECONDS
            counts["sent"] += 1
            counts["answered"] += request.is_answered
            counts["refused"] += request.is_refused
            counts["late"] += is_late
            counts["late_refused"] += is_late and request.is_refused
        return counts

    def check(self) -> None:
        """Check the late sends of each segment, and that sound prompts are sent."""
        for segment in self.segments:
            late = segment.count_late_sends()
            assert late <= MAX_LATE_SENDS, (
                f"{late} sends late, {len(segment.crash_times)} targets ended"
            )
        counts = self.count_sound()
        if not self.segments:
            assert not self.harmless_refused, "refused without a crashing segment"
        if counts["late"] >= MIN_SOUND_PROMPTS:
            share = counts["late_refused"] / counts["late"]
            assert share <= MAX_REFUSED_SHARE, f"{share:.2f} of sound prompts refused"

    def _crash_many_targets(self) -> None:
        if self.plan.has_mass_crashes:
            super()._crash_many_targets()

    def _draw_session(self) -> bytes:
        if self.random.random() < NEW_SESSION_CHANCE:
            number = self.random.randrange(SESSIONS)
            self._sessions[number] = self._create_fingerprint()
        return self.random.choice(self._sessions)

    def _send_crashing(self, segment: _CrashingSegment) -> None:
        if self.world.now >= self._until:
            return
        segments = (COMMON_SEGMENT, segment.fingerprint)
        if self.random.random() < SESSION_CHANCE:
            segments += (self._draw_session(),)
        prompt = CrashRequest(
            self._create_fingerprint(), CRASHING_BODY_BYTES, True, segments
        )
        prompt.account = self.random.randrange(self.plan.accounts)
        segment.prompts.append(prompt)
        self.submit(prompt)
        delay = self.random.expovariate(self.plan.crashing_per_second)
        self.world.schedule_after(delay, lambda: self._send_crashing(segment))


def choose_plan(seed: int) -> SegmentPlan:
    """Return a seed's plan: a small fleet, every third without crashing segments."""
    hosts = FLEET_SIZES[seed % len(FLEET_SIZES)]
    return SegmentPlan(
        hosts=hosts,
        targets=2 * hosts,
        crashing_segments=seed % 3,
        requests_a_second=3.0 * hosts,
        seconds=16.0,
    )


def run_segment_seed(seed: int) -> int:
    """Run one seed; raise AssertionError if the requirement is violated."""
    return SegmentRun(choose_plan(seed), seed).run().world.events
