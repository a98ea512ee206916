"""Run hosts that exchange patches and order engines against a plain model."""

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
HEALING_ROUNDS = 6
LOST, DOUBLED, STALE_BASE, FORKING_SEEDS = 0.15, 0.15, 0.3, 0.25
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
    """An engine: takes the last order, or refuses old ones if it checks them."""

    checks_fencing: bool
    fencing: int = 0
    models: dict[str, Any] = field(default_factory=dict)

    def take(self, order: EngineOrder) -> None:
        if self.checks_fencing and order.fencing < self.fencing:
            return
        self.fencing = order.fencing
        self.models = order.build_body()["models"]


@dataclass
class _Host:
    """One life of a host; admitted is the number that it serves by, once it does."""

    history: ConfigurationHistory = field(default_factory=ConfigurationHistory)
    admitted: int | None = None


class ConfigurationMachine:
    """Hosts, replicas of the platform and engines; all chance comes from the seed."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._is_forking = self._random.random() < FORKING_SEEDS
        self._log: list[LogEntry] = []
        self._truths = [build_state(0, 0, DOCUMENT)]
        self._shown = [0] * REPLICAS
        self._mail: list[Callable[[], None]] = []
        self._engines = {"checks": _Engine(True), "ignores": _Engine(False)}
        self._hosts = [_Host() for _ in range(HOSTS)]
        self._events = 0

    def run(self) -> int:
        """Run to the end, heal, check the end, and return the number of events."""
        actions = [
            (6, self._publish),
            (8, self._show_more),
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
            self._do(action)
        while self._mail:
            self._do(self._deliver)
        if not self._is_forking:
            self._heal()
        return self._events

    def _do(self, action: Callable[[], None]) -> None:
        action()
        self._events += 1
        for host in self._hosts:
            self._check_host(host)

    def _check_host(self, host: _Host) -> None:
        """Admit work where allowed; the number served by must never fall."""
        state = host.history.state
        if state is None or (
            host.admitted is None and host.history.is_below_fencing_floor
        ):
            return
        floor = host.history.floor if host.admitted is None else host.admitted
        assert state.number >= floor, "the number fell"
        host.admitted = state.number
        if not self._is_forking:
            true = self._build_truth(state.sequence)
            assert compute_digest(state) == compute_digest(true), "another document"
            assert state.number == true.number, "another verdict"

    def _pick_host(self) -> _Host:
        return self._random.choice(self._hosts)

    def _pick_replica(self) -> int:
        return self._random.randrange(REPLICAS)

    def _pick_engine(self) -> str:
        return self._random.choice(sorted(self._engines))

    def _build_truth(self, length: int) -> ConfigurationState:
        for entry in self._log[len(self._truths) - 1 : length]:
            self._truths.append(apply_entry(self._truths[-1], entry)[0])
        return self._truths[length]

    def _publish(self) -> None:
        """Let an operator publish, sometimes against a number that is old by then."""
        truth = self._build_truth(len(self._log))
        is_stale = self._random.random() < STALE_BASE
        base = max(0, truth.number - 1) if is_stale else truth.number
        operation = {
            "op": "replace",
            "path": f"/models/{MODEL}/version",
            "value": str(self._random.randrange(1_000_000)),
        }
        self._log.append(LogEntry(len(self._log) + 1, base, (operation,)))

    def _show_more(self) -> None:
        replica = self._pick_replica()
        self._shown[replica] = self._random.randint(
            min(self._shown[replica], len(self._log)), len(self._log)
        )

    def _restore_platform(self) -> None:
        """Bring the platform back with an older log, which then grows otherwise."""
        if self._is_forking:
            del self._log[self._random.randint(0, len(self._log)) :]
            del self._truths[len(self._log) + 1 :]
        self._shown = [min(n, len(self._log)) for n in self._shown]
        self._shown[self._pick_replica()] //= 2

    def _restart(self) -> None:
        """Replace a host: it reads, asks peers and engines before it admits work."""
        host = _Host()
        self._hosts[self._random.randrange(HOSTS)] = host
        replica = self._pick_replica()
        host.history.apply_snapshot(self._build_truth(self._shown[replica]))
        for peer in self._hosts:
            if peer is not host and self._random.random() > LOST:
                self._give(peer.history, host.history)
        for engine in self._engines.values():
            host.history.raise_fencing_floor(engine.fencing)

    def _read_log(self, host: _Host, replica: int) -> int:
        """Do what ConfigurationTask does with one replica; return its last entry."""
        history, shown = host.history, self._shown[replica]
        if history.state is None:
            history.apply_snapshot(self._build_truth(shown))
            return shown
        last = history.get_last_entry()
        after = history.sequence if last is None else last.sequence - 1
        if shown > history.sequence:
            self._take(history, self._log[after:shown])
        return shown

    def _pull(self, asker: _Host, giver: _Host) -> None:
        self._post(lambda: self._give(giver.history, asker.history))

    def _give(self, giver: ConfigurationHistory, asker: ConfigurationHistory) -> None:
        """Hand on what the asker lacks, as it is when the answer is made."""
        if giver.state is None or giver.sequence <= asker.sequence:
            return
        entries = giver.get_entries_after(asker.sequence)
        if asker.sequence >= 0 and entries is not None:
            data = encode_entries(entries)
            self._post(lambda: self._take(asker, decode_entries(data)))
        else:
            state = giver.state
            self._post(lambda: asker.apply_snapshot(state))

    def _take(self, history: ConfigurationHistory, entries: list[LogEntry]) -> None:
        """Take entries over, and push what was new to another host."""
        taken = history.extend(entries)
        new = [patch_result.entry for patch_result in taken.patch_results]
        if new:
            other = self._pick_host().history
            self._post(lambda: self._take(other, new))

    def _post(self, message: Callable[[], Any]) -> None:
        if self._random.random() < LOST:
            return
        copies = 2 if self._random.random() < DOUBLED else 1
        self._mail.extend([message] * copies)

    def _deliver(self) -> None:
        """Deliver any message that is under way, however old."""
        if self._mail:
            self._mail.pop(self._random.randrange(len(self._mail)))()

    def _order(self, host: _Host, name: str) -> None:
        """Do what OrderTask does about one engine; the order may come late."""
        state, engine = host.history.state, self._engines[name]
        if state is None or host.admitted is None:
            return
        order = build_orders(state.configuration, state.number)[name]
        reported = EngineOrderState(engine.fencing, engine.models)
        match decide_order(order, reported, engine.checks_fencing):
            case OrderDecision.CATCH_UP:
                host.history.raise_fencing_floor(engine.fencing)
            case OrderDecision.SEND:
                self._post(lambda: engine.take(order))
            case OrderDecision.VERIFY_THEN_SEND:
                newest = max(self._read_log(host, r) for r in range(REPLICAS))
                is_same = host.history.state.number == order.fencing
                if newest >= host.history.sequence and is_same:
                    self._post(lambda: engine.take(order))

    def _heal(self) -> None:
        """End all faults: every host and engine must come to the log's own end."""
        self._shown = [len(self._log)] * REPLICAS
        truth = self._build_truth(len(self._log))
        for _ in range(HEALING_ROUNDS):
            for host in self._hosts:
                self._do(lambda h=host: self._read_log(h, 0))
                for name in self._engines:
                    self._do(lambda h=host, n=name: self._order(h, n))
            while self._mail:
                self._do(self._deliver)
        for host in self._hosts:
            assert host.history.state == truth, "a host has not caught up"
            assert host.admitted == truth.number, "a host does not admit work"
        for name, engine in self._engines.items():
            order = build_orders(truth.configuration, truth.number)[name]
            assert engine.fencing == order.fencing, f"{name} has an old order"
            assert engine.models == order.build_body()["models"], f"{name} is not right"


def run_configuration_seed(seed: int) -> int:
    """Run one seed; return its number of events, or raise what was violated."""
    return ConfigurationMachine(seed).run()
