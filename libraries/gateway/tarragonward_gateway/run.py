"""Forward one request: perform what its exchange decides."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack, ExitStack
from functools import partial

from tarragonward_placement import EngineUsage, Evidence
from tarragonward_requests import (
    AbortConnection,
    AnswerStarted,
    Blamed,
    EventsGiven,
    EventStreamSplitter,
    Exchange,
    ExchangeEffect,
    ExchangeEvent,
    ExchangePolicy,
    ForwardAnswer,
    NextEvents,
    Refuse,
    SendFailed,
    SendFault,
    SendTo,
    SendVerdict,
    TargetAnswered,
    TimeOver,
    Verdict,
)
from tarragonward_routes import RequestKind
from tarragonward_wire import (
    HttpRequest,
    HttpStream,
    PauseTimeout,
    RawHeaders,
    Responder,
    async_open_http,
)

from . import const as c
from .answer_ends import async_check_end
from .answers import async_read_answer, async_send_refusal
from .choices import SendChoice
from .clock import read_clock
from .context import ForwardContext
from .headers import (
    build_answer_headers,
    parse_count,
    parse_token_counts,
)
from .heads import (
    AnswerHeadCheck,
    SpoiledAnswerError,
    is_event_stream,
    is_out_of_places,
)
from .idle_policy import IdlePolicy
from .idle_timeout import IdleTimeout
from .moving import RequestMover
from .observer import RequestObserver
from .placing import SendPlacer
from .reservations import ReservationTask
from .send_errors import (
    SEND_ERRORS,
    SendWithheldError,
    get_send_fault,
    is_link_fault,
)
from .send_headers import build_send_headers
from .state import GatewayState
from .suspects import UNKNOWN, RequestIdentity, SuspectMonitor
from .targets import TargetChooser

__all__ = ["ForwardedRequest"]

STATUS_MULTIPLE_CHOICES = 300
STATUS_SERVER_ERROR = 500
BODILESS_STATUSES = (204, 304)
METHOD_HEAD = "HEAD"


class ForwardedRequest:
    """One request, its consecutive attempts, and the single answer to its caller.

    is_served tells at its end whether the caller got a target's answer.
    """

    def __init__(
        self,
        state: GatewayState,
        chooser: TargetChooser,
        reservations: ReservationTask,
        suspects: SuspectMonitor,
        request: HttpRequest,
        responder: Responder,
    ) -> None:
        self._state = state
        self._chooser = chooser
        self._suspects = suspects
        self._request = request
        self._responder = responder
        context: ForwardContext = request.context
        assert context.route is not None
        self._context = context
        self._route = context.route
        self._loop = asyncio.get_running_loop()
        self._request_id = request.headers.get(state.headers.request_id, "")
        self._exchange = Exchange(
            ExchangePolicy(
                may_run_again=self._route.may_run_again,
                is_stream=self._route.kind is RequestKind.STREAM,
                max_sends=self._route.attempts,
                deadline=context.deadline,
                may_resume=self._route.may_resume,
            ),
            last_event_id=self._read_last_id(),
        )
        self._sequence = state.build_sequence(context.service, self._read_last_id())
        self._observer = RequestObserver(
            state,
            context,
            self._request_id,
            request.headers.get(state.headers.token_counts, ""),
        )
        self._identity = RequestIdentity(
            request,
            context.account,
            context.service,
            request.headers.get(state.headers.prompt_segments, ""),
        )
        self._placer = SendPlacer(
            state,
            chooser,
            reservations,
            self._exchange,
            context,
            parse_token_counts(request.headers.get(state.headers.token_counts, "")),
        )
        self._suspect_verdict = SendVerdict()
        self._head_check = AnswerHeadCheck(state.headers, self._request_id)
        self._mover = RequestMover(
            state, chooser, self._exchange, self._placer.build_requirements
        )
        self._idle_policy = IdlePolicy(
            state, chooser, self._exchange, self._placer, self._mover, context
        )
        self._retry_counted_at: float | None = None
        self._idle_timeout: IdleTimeout | None = None
        self.is_served: bool | None = None
        self._answer: tuple[int, tuple[tuple[bytes, bytes], ...], bytes] | None = None
        state.record_request(context.service)

    async def async_run(self) -> None:
        """Process the request to its end, and record the outcome."""
        try:
            await self._async_run()
        except BaseException as err:
            self._observer.finish(err)
            raise
        self._observer.finish()

    async def _async_run(self) -> None:
        effect = self._check_suspect()
        if effect is None:
            self._suspects.record_admitted(self._identity)
            effect = self._exchange.start()
        try:
            async with PauseTimeout(self._context.deadline):
                while isinstance(effect, SendTo):
                    effect = await self._async_send(effect)
        except TimeoutError:
            if self._exchange.has_ended:
                raise
            effect = self._handle_event(TimeOver())
        self._mover.cancel_move()
        await self._async_end(effect)

    def _read_last_id(self) -> int | None:
        """Return the last event that the caller has, if the stream may be resumed."""
        if not self._route.may_resume:
            return None
        headers = self._request.headers
        return parse_count(headers.get(self._state.headers.last_event_id, ""))

    def _handle_event(self, event: ExchangeEvent) -> ExchangeEffect | None:
        now = self._loop.time()
        service, is_streaming = self._context.service, self._exchange.is_streaming
        is_attempt_end = isinstance(event, (SendFailed, TargetAnswered))
        can_retry = is_attempt_end and (
            self._mover.is_moving
            or self._state.can_retry(service, is_urgent=is_streaming)
        )
        effect = self._exchange.handle(event, now, has_budget=can_retry)
        if isinstance(effect, SendTo) and effect.is_retry:
            self._retry_counted_at = (
                self._mover.retry_at
                if self._mover.is_moving
                else self._state.record_retry(service)
            )
        if is_attempt_end:
            self._mover.is_moving = False
        self._observer.record_decision(event, effect, now, can_retry)
        return effect

    async def _async_end(self, effect: ExchangeEffect | None) -> None:
        self.is_served = not isinstance(effect, (Refuse, AbortConnection))
        if isinstance(effect, ForwardAnswer):
            assert self._answer is not None
            status, headers, body = self._answer
            self._observer.record_status(status)
            await self._responder.async_send_bytes(status, body, headers)
        elif isinstance(effect, Refuse):
            self._observer.record_status(effect.code.http_status)
            await async_send_refusal(
                self._responder, effect.code, effect.retry_after_seconds
            )
        elif isinstance(effect, AbortConnection):
            raise ConnectionAbortedError("answer aborted before its end")

    def _check_suspect(self) -> ExchangeEffect | None:
        """Return how to end a request that may crash another target, else None."""
        found = self._suspect_verdict = self._suspects.evaluate(self._identity)
        self._placer.is_suspect = found.verdict is Verdict.ALONE
        if found.verdict is Verdict.REFUSED:
            self._suspects.record_refused(self._identity, found)
            return self._handle_event(Blamed())
        if found.verdict is Verdict.LATER:
            self._suspects.record_deferred(self._identity, found)
            return self._handle_event(Blamed(found.wait_seconds))
        return None

    async def _async_send(self, effect: SendTo) -> ExchangeEffect | None:
        placed = await self._placer.async_place(effect.to_previous_target)
        if placed is None:
            self._observer.record_choice(
                None,
                disconnected=self._chooser.count_disconnected(self._context.service),
                **self._placer.describe(),
            )
            self._refund_retry()
            wait = self._chooser.compute_return_wait(self._context.service)
            return self._handle_event(SendFailed(SendFault.NO_TARGET, wait))
        choice, lease = placed
        target = choice.target
        prefill_engines = len(choice.helpers) + 1 if choice.plan is not None else 0
        self._observer.record_choice(
            target,
            choice.predicted_at,
            prefill_engines,
            relayed=choice.is_relayed or None,
            **self._placer.describe(),
            **self._suspects.describe_send(self._identity, self._suspect_verdict),
        )
        self._placer.record_chosen(target)
        try:
            with ExitStack() as stack:
                if self._placer.is_suspect:
                    stack.enter_context(
                        self._suspects.isolated_attempt(
                            self._identity, self._suspect_verdict
                        )
                    )
                    stack.enter_context(self._chooser.isolate_target(target))
                if lease is not None:
                    lease.on_unused = self._give_up_send
                    stack.callback(lease.release)
                stack.enter_context(self._chooser.track_in_flight(choice))
                event = await self._async_attempt(choice, effect)
        except SEND_ERRORS as err:
            event = SendFailed(get_send_fault(err))
            await self._async_handle_error(choice, event, err)
        if isinstance(event, SendFailed):
            self._chooser.record_failure(choice, event.fault)
            may_be_suspect = event.fault in (SendFault.LOST, SendFault.WITHHELD)
            blamed = self._check_suspect() if may_be_suspect else None
            return blamed or self._handle_event(event)
        return self._handle_event(event) if event is not None else None

    async def _async_handle_error(
        self, choice: SendChoice, event: SendFailed, err: Exception
    ) -> None:
        target = choice.target
        is_lost = event.fault is SendFault.LOST
        if event.fault in (SendFault.NOT_CONNECTED, SendFault.WITHHELD):
            self._refund_retry()
            self._chooser.cancel_send(target)
        elif event.fault in (SendFault.MOVED, SendFault.SILENT):
            self._placer.abandoned = target.id
        if event.fault is SendFault.MOVED and not self._exchange.is_streaming:
            self._chooser.probes.check_in_background(target)
        cause = UNKNOWN if is_lost else None
        try:
            if is_lost:
                cause = await self._suspects.async_record_lost(
                    self._identity, choice, self._suspect_verdict, is_link_fault(err)
                )
        finally:
            self._observer.record_failure(
                "send_failed",
                fault=event.fault.value,
                error=str(err),
                fingerprint=self._identity.fingerprint.hex() if is_lost else None,
                cause=cause,
            )

    def _refund_retry(self) -> None:
        """Return a retry that was never sent to the retry budget."""
        if self._retry_counted_at is not None:
            self._state.budget.refund_retry(
                self._context.service, self._retry_counted_at
            )
            self._retry_counted_at = None

    def _record_head_evidence(self, choice: SendChoice, stream: HttpStream) -> None:
        evidence = self._head_check.classify(choice.target, stream)
        self._chooser.record_evidence(choice, evidence)

    async def _async_attempt(
        self, choice: SendChoice, effect: SendTo
    ) -> ExchangeEvent | None:
        target = choice.target
        seconds_left = self._context.deadline - self._loop.time()
        connect = self._chooser.paths.get_connector(choice)
        connect_timeout = (
            c.RELAYED_CONNECT_TIMEOUT_SECONDS if connect else c.CONNECT_TIMEOUT_SECONDS
        )
        async with AsyncExitStack() as stack:
            if choice.plan is not None and self._idle_policy.limits_silence(choice):
                self._idle_timeout = self._idle_policy.build_timeout(
                    choice, choice.plan
                )
                await stack.enter_async_context(self._idle_timeout)
                stack.enter_context(
                    self._chooser.paths.watch_link(
                        choice, self._idle_timeout.expect_silence
                    )
                )
                handle_prefill = partial(
                    self._handle_prefill, choice, self._idle_timeout
                )
                stack.enter_context(
                    self._chooser.watch_prefills(choice, handle_prefill)
                )
            stream = await stack.enter_async_context(
                async_open_http(
                    target.address,
                    self._request.method,
                    self._request.target,
                    headers=partial(self._build_headers, choice, effect),
                    body=self._request.body,
                    connect_timeout=min(connect_timeout, seconds_left),
                    before_write=partial(self._begin_write, choice),
                    unreachable_timeout=c.TARGET_UNREACHABLE_SECONDS,
                    connect=connect,
                )
            )
            return await self._async_receive_answer(choice, stream)

    def _give_up_send(self) -> None:
        if self._idle_timeout is not None:
            self._idle_timeout.give_up()

    def _begin_write(self, choice: SendChoice) -> None:
        # Reserving memory and connecting take time, in which the target may have been
        # withdrawn or have asked for no more requests.
        is_registered = self._state.registry.is_registered(choice.target)
        if not (is_registered and self._chooser.accepts_requests(choice.target)):
            raise SendWithheldError("the target is gone or takes no more requests")
        if self._suspects.has_become_suspect(self._identity, self._suspect_verdict):
            raise SendWithheldError("the request crashed targets meanwhile")
        choice.sent_at = read_clock()
        self._exchange.record_sent()

    def _handle_prefill(
        self, choice: SendChoice, watch: IdleTimeout, work: EngineUsage
    ) -> None:
        self._observer.record_prefill_ahead(work.prefill_seconds)
        self._mover.consider_move(choice, watch, work)

    def _build_headers(self, choice: SendChoice, effect: SendTo) -> RawHeaders:
        return build_send_headers(
            self._state.headers,
            self._request.raw_headers,
            self._context.account,
            choice,
            effect.last_event_id,
            self._context.deadline - self._loop.time(),
        )

    async def _async_receive_answer(
        self, choice: SendChoice, stream: HttpStream
    ) -> ExchangeEvent | None:
        names = self._state.headers
        self._record_head_evidence(choice, stream)
        is_refusal = self._head_check.is_refusal(stream)
        self._chooser.statements.record_answer(
            choice.target, stream.status, stream.headers
        )
        if is_refusal:
            failed_address = stream.headers.get(names.failed_target)
            is_helper_fault = failed_address is not None and (
                self._chooser.probes.record_reported_fault(
                    choice.helpers, failed_address
                )
            )
            self._observer.record_failure(
                "send_refused",
                status=stream.status,
                at_target=failed_address,
                retry_after=stream.headers.get(c.HEADER_RETRY_AFTER),
            )
            if is_out_of_places(names, stream.status, stream.headers):
                self._placer.record_full(choice)
            wait = self._chooser.compute_return_wait(self._context.service)
            return SendFailed(SendFault.NOT_RUN, wait, is_helper_fault)
        self._head_check.check(stream)
        if is_event_stream(stream):
            return await self._async_forward_stream(choice, stream)
        body = await async_read_answer(stream, self._state.answers)
        await async_check_end(stream, choice, self._chooser)
        has_body = self._request.method != METHOD_HEAD and (
            stream.status not in BODILESS_STATUSES
        )
        headers = build_answer_headers(stream.raw_headers, has_body)
        self._answer = (stream.status, headers, body)
        if stream.status < STATUS_SERVER_ERROR:
            self._chooser.record_evidence(choice, Evidence.ANSWERED)
            is_success = stream.status < STATUS_MULTIPLE_CHOICES
            self._suspects.record_answered(
                self._identity, choice.sent_at if is_success else None, stream.status
            )
        return TargetAnswered(is_failure=stream.status >= STATUS_SERVER_ERROR)

    async def _async_forward_stream(
        self, choice: SendChoice, stream: HttpStream
    ) -> ExchangeEvent | None:
        splitter = EventStreamSplitter()
        self._sequence.begin_run()
        async for data in stream.async_iterate_chunks():
            try:
                events = splitter.split(data)
            except ValueError as err:
                raise SpoiledAnswerError(str(err)) from None
            if events:
                self._record_events(choice, len(events))
                if self._idle_timeout is not None:
                    self._idle_timeout.pause()
                await self._async_forward(stream, self._sequence.select(events))
                # The engine's pace cannot be measured while the caller does not read.
                choice.waiting_since = self._loop.time()
                if self._idle_timeout is not None:
                    self._idle_timeout.resume()
        await async_check_end(stream, choice, self._chooser)
        if splitter.has_partial_event:
            raise SpoiledAnswerError("event stream ended within an event")
        if not self._exchange.is_streaming:
            # A stream may be empty only if the caller already has its last event.
            if self._exchange.last_event_id is None:
                raise SpoiledAnswerError("event stream ended without an event")
            self._start_answer(stream)
        self._suspects.record_answered(
            self._identity, choice.answer_began_at, stream.status
        )
        await self._responder.async_finish()
        self._exchange.has_ended = True
        self._state.record_whole_stream(self._context.service, self._sequence)
        return None

    def _record_events(self, choice: SendChoice, events: int) -> None:
        now = read_clock()
        if choice.answer_began_at is None:
            choice.answer_began_at = now
            self._chooser.record_evidence(choice, Evidence.ANSWERED)
        elif choice.has_become_steady(now):
            self._suspects.record_steady_stream(self._identity, choice.answer_began_at)
        self._chooser.record_events(choice, events)

    async def _async_forward(self, stream: HttpStream, forwarded: NextEvents) -> None:
        self._exchange.has_position = self._sequence.has_position
        for event in forwarded.events:
            if event.event_id is not None:
                self._handle_event(EventsGiven(event.event_id))
        if forwarded.events and not self._exchange.is_streaming:
            self._start_answer(stream)
        # Events recorded as delivered must be sent before another target resumes the
        # stream after them.
        await self._responder.async_send_chunk(
            b"".join(event.data for event in forwarded.events)
        )
        if forwarded.has_gap:
            self._state.record_gap(self._context.service, self._sequence)
            raise SpoiledAnswerError("event ids have a gap: an event is missing")

    def _start_answer(self, stream: HttpStream) -> None:
        self._handle_event(AnswerStarted())
        self._responder.start(stream.status, build_answer_headers(stream.raw_headers))
