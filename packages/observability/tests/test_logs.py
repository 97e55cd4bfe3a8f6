"""Guards against logs that block the process, grow without bound, or lose lines."""

import importlib
import json
import os
import threading
from collections.abc import Iterator

import gevent
import pytest

from persimmonreach.core import Decision, StateChange
from persimmonreach.observability import EventLog
from persimmonreach.observability._logs import LARGEST_BACKLOG, LINES_PER_S


@pytest.fixture
def pipe() -> Iterator[tuple[int, int]]:
    ends = os.pipe()
    os.set_blocking(ends[0], False)
    yield ends
    for end in ends:
        os.close(end)


def lines(descriptor: int) -> list[dict[str, object]]:
    try:
        content = os.read(descriptor, 1_000_000)
    except BlockingIOError:
        return []
    return [json.loads(line) for line in content.splitlines()]


def test_a_line_says_what_was_decided_and_why(pipe: tuple[int, int]) -> None:
    log = EventLog('i-1', pipe[1], render_after_s=0)
    decision = Decision('flow_placed', b'\x01\x02', 'accepted', {'offers': 2})
    log.note_decision(decision)
    log.note_change(StateChange('agent_state', 'a1', 'ready'))
    log.close()
    placed, changed = lines(pipe[0])
    assert placed['flow'] == '0102'
    assert (placed['outcome'], placed['offers']) == ('accepted', 2)
    assert (changed['event'], changed['subject']) == ('agent_state', 'a1')
    assert changed['instance'] == 'i-1'


def test_lines_that_come_too_often_are_counted(
    pipe: tuple[int, int],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    now = [1000.0]
    monkeypatch.setattr('time.time', lambda: now[0])
    log = EventLog('i-1', pipe[1], render_after_s=0)
    for _ in range(LINES_PER_S + 30):
        log.info('busy')
    now[0] += 1
    log.info('busy')
    log.close()
    written = lines(pipe[0])
    assert len(written) == LINES_PER_S + 1
    assert written[-1]['left_out'] == 30


def test_a_reader_that_stops_reading_costs_lines_and_not_service(
    pipe: tuple[int, int],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    now = [1000.0]
    monkeypatch.setattr('time.time', lambda: now[0])
    log = EventLog('i-1', pipe[1], render_after_s=0)
    with gevent.Timeout(20):
        for number in range(3 * LARGEST_BACKLOG):
            now[0] += 1
            log.info('long', text='x' * 200)
            if number % 100 == 0:
                gevent.sleep(0)
        log.close()
    assert log.dropped > LARGEST_BACKLOG


def test_the_first_lines_wait_until_the_process_has_started(
    pipe: tuple[int, int],
) -> None:
    log = EventLog('i-1', pipe[1], render_after_s=60)
    log.info('starting')
    gevent.sleep(0)
    assert not lines(pipe[0])
    log.close()
    assert [line['event'] for line in lines(pipe[0])] == ['starting']


def test_the_library_is_imported_beside_the_packets(
    pipe: tuple[int, int],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The import held up all packets for 0.6 s on a slow instance."""
    threads: list[int] = []

    def note_thread(name: str) -> object:
        threads.append(threading.get_native_id())
        return importlib.import_module(name)

    monkeypatch.setattr('persimmonreach.observability._logs.import_module', note_thread)
    log = EventLog('i-1', pipe[1], render_after_s=0)
    log.info('started')
    with gevent.Timeout(20):
        while not lines(pipe[0]):
            gevent.sleep(0.005)
    log.close()
    assert threads
    assert threading.get_native_id() not in threads
