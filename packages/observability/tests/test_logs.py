"""Guards against a log that blocks the process, grows without limit or loses lines."""

import json
import os
import subprocess
import sys
from collections.abc import Iterator

import gevent
import pytest

from persimmonreach.core import LogDecision, LogStateChange
from persimmonreach.observability import EventLog
from persimmonreach.observability._logs import MAX_LINES_PER_S, MAX_QUEUED_LINES


@pytest.fixture
def pipe() -> Iterator[tuple[int, int]]:
    ends = os.pipe()
    os.set_blocking(ends[0], False)
    yield ends
    for end in ends:
        os.close(end)


def read_lines(descriptor: int) -> list[dict[str, object]]:
    try:
        content = os.read(descriptor, 1_000_000)
    except BlockingIOError:
        return []
    return [json.loads(line) for line in content.splitlines()]


def test_line_contains_decision_and_its_inputs(pipe: tuple[int, int]) -> None:
    """Guards against lines from which a decision cannot be explained."""
    log = EventLog('i-1', pipe[1], first_render_delay_s=0)
    decision = LogDecision('flow_placed', b'\x01\x02', 'accepted', {'offers': 2})
    log.log_decision(decision)
    log.log_state_change(LogStateChange('agent_state', 'a1', 'ready'))
    log.close()
    decision_line, state_line = read_lines(pipe[0])
    assert decision_line['flow'] == '0102'
    assert (decision_line['outcome'], decision_line['offers']) == ('accepted', 2)
    assert (state_line['event'], state_line['subject']) == ('agent_state', 'a1')
    assert state_line['instance'] == 'i-1'


def test_lines_above_rate_limit_are_suppressed_and_counted(
    pipe: tuple[int, int],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a frequent event that floods the log or loses lines uncounted."""
    now = [1000.0]
    monkeypatch.setattr('time.time', lambda: now[0])
    log = EventLog('i-1', pipe[1], first_render_delay_s=0)
    for _ in range(MAX_LINES_PER_S + 30):
        log.info('busy')
    now[0] += 1
    log.info('busy')
    log.close()
    written = read_lines(pipe[0])
    assert len(written) == MAX_LINES_PER_S + 1
    assert written[-1]['left_out'] == 30


def test_lines_are_dropped_without_blocking_if_reader_stops_reading(
    pipe: tuple[int, int],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a full pipe that blocks the process, and an unlimited queue."""
    now = [1000.0]
    monkeypatch.setattr('time.time', lambda: now[0])
    log = EventLog('i-1', pipe[1], first_render_delay_s=0)
    with gevent.Timeout(20):
        for number in range(3 * MAX_QUEUED_LINES):
            now[0] += 1
            log.info('long', text='x' * 200)
            if number % 100 == 0:
                gevent.sleep(0)
        log.close()
    assert log.dropped_lines > MAX_QUEUED_LINES


def test_lines_are_not_written_before_the_delay_unless_log_is_closed(
    pipe: tuple[int, int],
) -> None:
    """Guards against an import of structlog that delays the start of the process, and
    against the loss of the lines of a process that ends before the delay.
    """
    log = EventLog('i-1', pipe[1], first_render_delay_s=60)
    log.info('starting')
    gevent.sleep(0)
    assert not read_lines(pipe[0])
    log.close()
    assert [line['event'] for line in read_lines(pipe[0])] == ['starting']


# Prints the largest number of modules imported without a pause and the number of
# native threads after the import.
_IMPORT_SCRIPT = """
import os, sys
sys.modules['rich'] = None  # imported by structlog; not installed with the daemon
import gevent
from persimmonreach.observability import EventLog
descriptor = os.open(os.devnull, os.O_WRONLY)
log = EventLog('i-1', descriptor, first_render_delay_s=0)
log.info('starting')
largest, imported = 0, len(sys.modules)
while 'structlog' not in sys.modules:
    gevent.sleep(0)
    largest, imported = max(largest, len(sys.modules) - imported), len(sys.modules)
print(largest, gevent.get_hub().threadpool.size)
"""
# The whole import comprises about 110 modules.
MAX_STEP_MODULES = 40


def test_structlog_import_lets_other_greenlets_run() -> None:
    """Guards against an import that blocks the process or runs on a native thread.

    Imported in one step, structlog delayed all packets by 0.6 s on a slow instance.
    Processes that imported it on a native thread ended with an illegal instruction.
    """
    command = (sys.executable, '-c', _IMPORT_SCRIPT)
    completed = subprocess.run(command, capture_output=True, check=True, timeout=60)
    largest_step, threads = map(int, completed.stdout.split())
    assert threads == 0
    assert 0 < largest_step <= MAX_STEP_MODULES


def test_number_of_suppressed_lines_survives_a_full_queue(
    pipe: tuple[int, int],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The number was taken for a line that was then dropped."""
    now = [1000.0]
    monkeypatch.setattr('time.time', lambda: now[0])
    monkeypatch.setattr('persimmonreach.observability._logs.MAX_QUEUED_LINES', 25)
    log = EventLog('i-1', pipe[1], first_render_delay_s=60)
    for _ in range(MAX_LINES_PER_S + 30):
        log.info('busy')
    for number in range(5):
        log.info(f'other_{number}')
    now[0] += 1
    log.info('busy')
    assert log.dropped_lines == 1
    log._queue.popleft()
    log.info('busy')
    log.close()
    assert read_lines(pipe[0])[-1]['left_out'] == 30


def test_process_goes_on_without_a_reader() -> None:
    """The greenlet of the log ended when the reader had closed the pipe."""
    reader, writer = os.pipe()
    os.close(reader)
    log = EventLog('i-1', writer, first_render_delay_s=0)
    log.info('first')
    log.info('second')
    gevent.sleep(0.2)
    log.info('third')
    log.close()
    assert log.dropped_lines == 3
    os.close(writer)
