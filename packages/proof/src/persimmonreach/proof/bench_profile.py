"""Where the processor time of the packet path goes.

Run as ``python -m persimmonreach.proof.bench_profile ROLE SETTINGS OUTPUT``, the
module is ``persimmonreachd`` under the profiler of the standard library.
"""

import cProfile
import pstats
import re
import sys
import time
from collections import Counter
from contextlib import ExitStack
from typing import Any, Final

import gevent

from persimmonreach.daemon.main import main as run_daemon
from persimmonreach.proof.bench_base import MICROSECONDS, Figure, Measurement, Report
from persimmonreach.proof.bench_deployment import DIRECTORY, Deployment, wait_figure
from persimmonreach.proof.bench_traffic import Sink

_FLOWS: Final = 1000
_RATE: Final = 8000
_SECONDS: Final = 4.0
_SETTLE_S: Final = 1
_BUCKETS: Final = 64
_PACKAGE: Final = re.compile('/persimmonreach/([a-z]+)/')
_GROUPS: Final = (
    ('recvfrom', 'system call recvfrom'),
    ('sendto', 'system call sendto'),
    ('blake2', 'authentication tag'),
    ('compare_digest', 'authentication tag'),
    ('msgspec', 'msgpack'),
    ('encode', 'msgpack'),
    ('decode', 'msgpack'),
    ('xxh', 'bucket hash'),
    ('gevent', 'gevent'),
    ('greenlet', 'gevent'),
)
_SHOWN: Final = 9


class PacketProfile(Measurement):
    """Profile of an entry instance and an agent at a steady packet rate.

    The profiler itself slows each call, so the shares count and not the times.
    """

    @property
    def name(self) -> str:
        """Name for ``--only``."""
        return 'packet-profile'

    def run(self) -> Report:
        """Send packets through two profiled processes."""
        sink = Sink()
        sink.start()
        with Deployment('persimmonreach.proof.bench_profile') as deployment:
            deployment.publish(1)
            entry = deployment.start_entry('profiled-entry')
            agent = deployment.start_agent('profiled-agent', entry, sink.port)
            wait_figure(agent, 'buckets_owned', _BUCKETS)
            deployment.send(entry, _FLOWS, 0, 0)
            wait_figure(agent, 'flows', _FLOWS)
            deployment.send(entry, _FLOWS, _RATE, _SECONDS)
            gevent.sleep(_SETTLE_S)
        sink.stop()
        packets = _RATE * _SECONDS
        return Report(
            (*_shares('profiled-entry', packets), *_shares('profiled-agent', packets)),
        )


def _shares(name: str, packets: float) -> list[Figure]:
    stats: Any = pstats.Stats(str(DIRECTORY / f'{name}.profile'))
    spent: Counter[str] = Counter()
    for function, row in stats.stats.items():
        spent[_group(function)] += row[2]
    return [
        Figure(f'{name}: {group}', seconds / packets * MICROSECONDS, 'us/packet')
        for group, seconds in spent.most_common(_SHOWN)
    ]


def _group(function: tuple[str, int, str]) -> str:
    place, _, called = function
    found = _PACKAGE.search(place)
    if found:
        return f'slice {found.group(1)}'
    text = f'{place} {called}'
    for part, group in _GROUPS:
        if part in text:
            return group
    return 'others'


def main() -> int:
    """Run the daemon and write its profile after SIGTERM."""
    output = sys.argv.pop()
    # Processor time, since a greenlet that waits would count as one that runs.
    profiler = cProfile.Profile(time.thread_time)
    with ExitStack() as stack:
        stack.callback(profiler.dump_stats, output)
        return profiler.runcall(run_daemon)


if __name__ == '__main__':
    sys.exit(main())
