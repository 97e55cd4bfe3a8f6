"""Configuration traffic of an entry instance by the agents that ask it."""

import random
import time
from typing import Any, Final, NamedTuple

from persimmonreach.configuration import (
    EntryConfiguration,
    EntrySettings,
    StoreRead,
    read_base,
)
from persimmonreach.configuration.messages import ConfigOffer, ServicePull
from persimmonreach.core import Received, Tick
from persimmonreach.proof.bench_base import (
    CODEC,
    Axis,
    Measurement,
    Report,
    Traffic,
    sent_messages,
)
from persimmonreach.proof.bench_inputs import (
    AGENTS,
    ENTRIES,
    SEED,
    SERVICES,
    make_entries,
    make_services,
)
from persimmonreach.proof.bench_store import published_store

_ASKING: Final = (4, 8, 16)
_AXIS: Final = Axis('agents that ask', _ASKING, AGENTS / ENTRIES)
_SECONDS: Final = 60
_TICKS_PER_S: Final = 10
# Agents ask, and peers offer, once in 2 s.
_PERIOD_TICKS: Final = 20
_PERCENT: Final = 100
_START_S: Final = 1000


class _Sample(NamedTuple):
    sent: float
    received: float
    processor: float


class ConfigurationTraffic(Measurement):
    """Offers between entry instances, and pulls of agents."""

    @property
    def name(self) -> str:
        """Name for ``--only``."""
        return 'configuration-traffic'

    def run(self) -> Report:
        """Measure all numbers of agents."""
        node = _Node()
        samples = [node.run(asking) for asking in _ASKING]
        names = (
            ('configuration bytes sent by an entry instance', 'B/s', 'sent'),
            ('configuration bytes received by an entry instance', 'B/s', 'received'),
            ('processor share of configuration', '% of a core', 'processor'),
        )
        return Report(slopes=_AXIS.slopes(names, samples))


class _Node:
    """One entry instance with the configuration of the stated size."""

    def __init__(self) -> None:
        self._entries = make_entries(ENTRIES)
        own = self._entries[0]
        settings = EntrySettings(own.entry, own.zone)
        self._machine = EntryConfiguration(settings, random.Random(SEED))
        base = read_base(published_store(SERVICES))
        self._now = float(_START_S)
        read = StoreRead(base.head, base.services, self._entries, 1)
        self._machine.handle(read, self._now)
        self._pull = ServicePull(make_services(1)[0].name, base.head.version)
        self._sent = Traffic()
        self._received = Traffic()

    def run(self, asking: int) -> _Sample:
        """Let a minute pass with ``asking`` agents."""
        self._sent = Traffic()
        self._received = Traffic()
        started = time.process_time()
        for step in range(_SECONDS * _TICKS_PER_S):
            self._now += 1 / _TICKS_PER_S
            self._note(self._machine.handle(Tick(), self._now))
            if step % _PERIOD_TICKS == 0:
                self._exchange(asking)
        spent = time.process_time() - started
        return _Sample(
            self._sent.octets / _SECONDS,
            self._received.octets / _SECONDS,
            spent / _SECONDS * _PERCENT,
        )

    def _exchange(self, asking: int) -> None:
        version = self._machine.configuration.version
        self._receive(ConfigOffer(version, 0, 100, (), 1))
        for _ in range(asking):
            self._receive(self._pull)

    def _receive(self, message: Any) -> None:
        self._received = self._received.add([message])
        received = Received(
            self._entries[1].endpoint, CODEC.decode(CODEC.encode(message))
        )
        self._note(self._machine.handle(received, self._now))

    def _note(self, actions: Any) -> None:
        self._sent = self._sent.add(sent_messages(actions))
