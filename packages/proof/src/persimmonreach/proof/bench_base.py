"""Interface of the measurements, and how they time and count."""

import time
import tracemalloc
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from typing import Any, Final, NamedTuple

from persimmonreach.core import Action, Send
from persimmonreach.daemon._wire import make_codec
from persimmonreach.proof.bench_fit import Fit, fit_line
from persimmonreach.runtime import SharedKey

# IPv4 header of 20 bytes and UDP header of 8; the codec adds the envelope.
IP_UDP_HEADER_BYTES: Final = 28
REPETITIONS: Final = 5
MICROSECONDS: Final = 1e6
KILOBYTE: Final = 1024
KEY_BYTES: Final = 32
CODEC: Final = make_codec([SharedKey(1, bytes(KEY_BYTES))])


class Figure(NamedTuple):
    """One measured value.

    Attributes
    ----------
    name
        What was measured.
    amount
        Measured value.
    unit
        Unit of ``amount``.
    noise
        Worst over best repetition; 0 if the value does not depend on time.

    """

    name: str
    amount: float
    unit: str
    noise: float = 0


class Slope(NamedTuple):
    """Values at several sizes, their fit, and the value at the stated size."""

    name: str
    size_unit: str
    unit: str
    sizes: tuple[float, ...]
    amounts: tuple[float, ...]
    fit: Fit
    design_size: float

    @property
    def at_design(self) -> float:
        """Value that the fit gives at the size to design for."""
        return self.fit.at(self.design_size)


class Axis(NamedTuple):
    """Sizes at which values are measured, and the size to design for."""

    unit: str
    sizes: tuple[float, ...]
    design_size: float

    def slope(self, name: str, unit: str, amounts: Iterable[float]) -> Slope:
        """Return the fit of values at these sizes."""
        measured = tuple(float(amount) for amount in amounts)
        fit = fit_line(self.sizes, measured)
        return Slope(name, self.unit, unit, self.sizes, measured, fit, self.design_size)

    def slopes(
        self,
        names: Iterable[tuple[str, str, str]],
        samples: Iterable[Any],
    ) -> tuple[Slope, ...]:
        """Return the fits of several fields, given by name, unit and field."""
        rows = tuple(samples)
        return tuple(
            self.slope(name, unit, [getattr(row, field) for row in rows])
            for name, unit, field in names
        )


class Report(NamedTuple):
    """Result of one measurement."""

    figures: tuple[Figure, ...] = ()
    slopes: tuple[Slope, ...] = ()


class Measurement(ABC):
    """One group of figures."""

    @property
    @abstractmethod
    def name(self) -> str:
        """Name for ``--only``."""

    @abstractmethod
    def run(self) -> Report:
        """Measure and return the figures."""


class Timing(NamedTuple):
    """Processor time of one call, in seconds.

    Attributes
    ----------
    best
        Shortest of the repetitions, which other processes disturbed least.
    noise
        Longest over shortest repetition.

    """

    best: float
    noise: float


def time_calls(function: Callable[[], Any], repetitions: int = REPETITIONS) -> Timing:
    """Return the processor time of ``function``, best of the repetitions."""
    spent: list[float] = []
    for _ in range(repetitions):
        started = time.process_time()
        function()
        spent.append(time.process_time() - started)
    best = max(min(spent), 1 / MICROSECONDS)
    return Timing(best, max(spent) / best)


def measure_memory(build: Callable[[], Any]) -> tuple[Any, int]:
    """Return what ``build`` returns and the bytes that stay allocated."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    built = build()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return built, after - before


def datagram_bytes(message: Any) -> int:
    """Return the bytes of a message on the link, with IP and UDP headers."""
    return len(CODEC.encode(message)) + IP_UDP_HEADER_BYTES


class Traffic(NamedTuple):
    """Datagrams and their bytes."""

    datagrams: int = 0
    octets: int = 0

    def add(self, messages: Iterable[Any]) -> 'Traffic':
        """Return the traffic with more messages."""
        sizes = [datagram_bytes(message) for message in messages]
        return Traffic(self.datagrams + len(sizes), self.octets + sum(sizes))


def sent_messages(actions: Iterable[Action]) -> list[Any]:
    """Return the messages of the ``Send`` actions."""
    return [action.message for action in actions if isinstance(action, Send)]
