"""Simulate the exchange of configuration patches and the orders to engines."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from tarragonward_config import (
    ConfigurationHistory,
    ConfigurationState,
    EngineOrder,
    EngineOrderState,
    LogEntry,
    OrderDecision,
    apply_entry,
    build_orders,
    build_state,
    compute_digest,
    decide_order,
    decode_entries,
    encode_entries,
)

__all__ = ["ConfigurationMachine", "run_configuration_seed"]

HOSTS, REPLICAS, STEPS = 4, 2, 250
CONVERGENCE_ROUNDS = 6
LOSS_PROBABILITY, DUPLICATION_PROBABILITY, STALE_BASE_PROBABILITY, FORK_PROBABILITY = (
    0.15,
    0.15,
    0.3,
    0.25,
)
MODEL = "m"
DOCUMENT = {
    "client_accounts": {},
    "models": {MODEL: {"context_tokens": 1, "version": "0"}},
    "services": {},
    "targets": {
        name: {
            "kind": "engine",
            "address": "127.0.0.1:1",
            "failure_domain": "north",
            "models": [MODEL],
            "kv_tokens": 1,
            "checks_fencing": name == "checks",
        }
        for name in ("checks", "ignores")
    },
}


@dataclass
class _Engine:
    """Engine that applies all orders, or refuses old ones if it checks fencing."""

    checks_fencing: bool
    fencing: int = 0
    models: dict[str, Any] = field(default_factory=dict)

    def apply(self, order: EngineOrder) -> None:
        if self.checks_fencing and order.fencing < self.fencing:
            return
        self.fencing = order.fencing
        self.models = order.build_body()["models"]


@dataclass
class _Host:
    """Incarnation of a host.

    serving_number is the configuration it serves by, None before it admits work.
    """

    history: ConfigurationHistory = field(default_factory=ConfigurationHistory)
    serving_number: int | None = None


class ConfigurationMachine:
    """Simulation of hosts, platform replicas and engines, determined by its seed."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._is_forking = self._random.random() < FORK_PROBABILITY
        self._log: list[LogEntry] = []
        self._expected_states = [build_state(0, 0, DOCUMENT)]
        self._visible_lengths = [0] * REPLICAS
        self._in_flight: list[Callable[[], None]] = []
        self._engines = {"checks": _Engine(True), "ignores": _Engine(False)}
        self._hosts = [_Host() for _ in range(HOSTS)]
        self._events = 0

    def run(self) -> int:
        """Run the simulation, check that it converges; return the number of events."""
        actions = [
            (6, self._publish),
            (8, self._advance_replica),
            (20, lambda: self._read_log(self._pick_host(), self._pick_replica())),
            (20, lambda: self._pull(self._pick_host(), self._pick_host())),
            (15, lambda: self._order(self._pick_host(), self._pick_engine())),
            (25, self._deliver),
            (2, self._restart),
            (1, self._restore_platform),
        ]
        weights = [weight for weight, _ in actions]
        for _ in range(STEPS):
            _, action = self._random.choices(actions, weights)[0]
            self._run_action(action)
        while self._in_flight:
            self._run_action(self._deliver)
        if not self._is_forking:
            self._check_convergence()
        return self._events

    def _run_action(self, action: Callable[[], None]) -> None:
        action()
        self._events += 1
        for host in self._hosts:
            self._check_host(host)

    def _check_host(self, host: _Host) -> None:
        """Admit work if allowed; check that the configuration never goes back."""
        state = host.history.state
        if state is None or (
            host.serving_number is None and host.history.is_below_fencing_floor
        ):
            return
        floor = (
            host.history.floor if host.serving_number is None else host.serving_number
        )
        assert state.number >= floor, "the configuration number decreased"
        host.serving_number = state.number
        if not self._is_forking:
            expected = self._build_expected_state(state.sequence)
            assert compute_digest(state) == compute_digest(expected), (
                "the document differs from the log's"
            )
            assert state.number == expected.number, "the number differs from the log's"

    def _pick_host(self) -> _Host:
        return self._random.choice(self._hosts)

    def _pick_replica(self) -> int:
        return self._random.randrange(REPLICAS)

    def _pick_engine(self) -> str:
        return self._random.choice(sorted(self._engines))

    def _build_expected_state(self, length: int) -> ConfigurationState:
        for entry in self._log[len(self._expected_states) - 1 : length]:
            self._expected_states.append(
                apply_entry(self._expected_states[-1], entry)[0]
            )
        return self._expected_states[length]

    def _publish(self) -> None:
        """Append a patch to the log, sometimes based on an outdated number."""
        expected = self._build_expected_state(len(self._log))
        is_stale = self._random.random() < STALE_BASE_PROBABILITY
        base = max(0, expected.number - 1) if is_stale else expected.number
        operation = {
            "op": "replace",
            "path": f"/models/{MODEL}/version",
            "value": str(self._random.randrange(1_000_000)),
        }
        self._log.append(LogEntry(len(self._log) + 1, base, (operation,)))

    def _advance_replica(self) -> None:
        replica = self._pick_replica()
        self._visible_lengths[replica] = self._random.randint(
            min(self._visible_lengths[replica], len(self._log)), len(self._log)
        )

    def _restore_platform(self) -> None:
        """Restore the platform from an old backup, after which its log diverges."""
        if self._is_forking:
            del self._log[self._random.randint(0, len(self._log)) :]
            del self._expected_states[len(self._log) + 1 :]
        self._visible_lengths = [min(n, len(self._log)) for n in self._visible_lengths]
        self._visible_lengths[self._pick_replica()] //= 2

    def _restart(self) -> None:
        """Restart a host, which queries replica, peers and engines before serving."""
        host = _Host()
        self._hosts[self._random.randrange(HOSTS)] = host
        replica = self._pick_replica()
        host.history.apply_snapshot(
            self._build_expected_state(self._visible_lengths[replica])
        )
        for peer in self._hosts:
            if peer is not host and self._random.random() > LOSS_PROBABILITY:
                self._answer_pull(peer.history, host.history)
        for engine in self._engines.values():
            host.history.raise_fencing_floor(engine.fencing)

    def _read_log(self, host: _Host, replica: int) -> int:
        """Do what ConfigurationTask does with a replica; return its log length."""
        history, visible = host.history, self._visible_lengths[replica]
        if history.state is None:
            history.apply_snapshot(self._build_expected_state(visible))
            return visible
        last = history.get_last_entry()
        after = history.sequence if last is None else last.sequence - 1
        if visible > history.sequence:
            self._apply_entries(history, self._log[after:visible])
        return visible

    def _pull(self, requester: _Host, responder: _Host) -> None:
        self._send(lambda: self._answer_pull(responder.history, requester.history))

    def _answer_pull(
        self, responder: ConfigurationHistory, requester: ConfigurationHistory
    ) -> None:
        """Send what the requester lacks at this time, as entries or a snapshot."""
        if responder.state is None or responder.sequence <= requester.sequence:
            return
        entries = responder.get_entries_after(requester.sequence)
        if requester.sequence >= 0 and entries is not None:
            data = encode_entries(entries)
            self._send(lambda: self._apply_entries(requester, decode_entries(data)))
        else:
            state = responder.state
            self._send(lambda: requester.apply_snapshot(state))

    def _apply_entries(
        self, history: ConfigurationHistory, entries: list[LogEntry]
    ) -> None:
        """Apply entries and push the new ones to another host."""
        result = history.extend(entries)
        new = [patch_result.entry for patch_result in result.patch_results]
        if new:
            other = self._pick_host().history
            self._send(lambda: self._apply_entries(other, new))

    def _send(self, message: Callable[[], Any]) -> None:
        if self._random.random() < LOSS_PROBABILITY:
            return
        copies = 2 if self._random.random() < DUPLICATION_PROBABILITY else 1
        self._in_flight.extend([message] * copies)

    def _deliver(self) -> None:
        """Deliver a random message in flight, regardless of its age."""
        if self._in_flight:
            self._in_flight.pop(self._random.randrange(len(self._in_flight)))()

    def _order(self, host: _Host, name: str) -> None:
        """Do what OrderTask does for one engine; the order may arrive late."""
        state, engine = host.history.state, self._engines[name]
        if state is None or host.serving_number is None:
            return
        order = build_orders(state.configuration, state.number)[name]
        reported = EngineOrderState(engine.fencing, engine.models)
        match decide_order(order, reported, engine.checks_fencing):
            case OrderDecision.CATCH_UP:
                host.history.raise_fencing_floor(engine.fencing)
            case OrderDecision.SEND:
                self._send(lambda: engine.apply(order))
            case OrderDecision.VERIFY_THEN_SEND:
                newest = max(self._read_log(host, r) for r in range(REPLICAS))
                is_same = host.history.state.number == order.fencing
                if newest >= host.history.sequence and is_same:
                    self._send(lambda: engine.apply(order))

    def _check_convergence(self) -> None:
        """Stop all faults; check that hosts and engines converge to the log."""
        self._visible_lengths = [len(self._log)] * REPLICAS
        expected = self._build_expected_state(len(self._log))
        for _ in range(CONVERGENCE_ROUNDS):
            for host in self._hosts:
                self._run_action(lambda h=host: self._read_log(h, 0))
                for name in self._engines:
                    self._run_action(lambda h=host, n=name: self._order(h, n))
            while self._in_flight:
                self._run_action(self._deliver)
        for host in self._hosts:
            assert host.history.state == expected, "a host has not caught up"
            assert host.serving_number == expected.number, "a host does not admit work"
        for name, engine in self._engines.items():
            order = build_orders(expected.configuration, expected.number)[name]
            assert engine.fencing == order.fencing, f"{name} has an outdated order"
            assert engine.models == order.build_body()["models"], (
                f"{name} has the wrong models"
            )


def run_configuration_seed(seed: int) -> int:
    """Run one seed; return its number of events, or raise AssertionError."""
    return ConfigurationMachine(seed).run()
