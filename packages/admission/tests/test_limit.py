"""Guards against overload of a cold backend server and against harmful load reports."""

from hypothesis import given, settings
from hypothesis import strategies as st

from persimmonreach.admission import (
    AttemptResult,
    BackendReported,
    BackendState,
    LimitSettings,
    SlowStartLimit,
)

COMPLETED = AttemptResult.COMPLETED


def run_one(limit: SlowStartLimit, now: float, latency: float = 0.1) -> None:
    assert limit.try_acquire(now)
    limit.release(COMPLETED, latency, now + latency)


def warm_limit(slots: int = 4, floor: float = 1) -> SlowStartLimit:
    limit = SlowStartLimit(LimitSettings(slots, floor))
    now = 0
    while limit.is_warming or now < 40:
        run_one(limit, now)
        now += 1
    return limit


def test_the_limit_rises_by_one_after_as_many_completions_as_the_limit() -> None:
    limit = SlowStartLimit(LimitSettings(slots=4))
    seen = []
    for now in range(8):
        seen.append(limit.limit)
        run_one(limit, now)
    assert seen == [1, 2, 2, 3, 3, 3, 4, 4]


def test_a_shed_request_or_timeout_halves_the_limit_and_keeps_the_floor() -> None:
    limit = warm_limit()
    for outcome, expected in (
        (AttemptResult.SHED, 2),
        (AttemptResult.CANCELLED, 2),
        (AttemptResult.TIMED_OUT, 1),
        (AttemptResult.SHED, 1),
    ):
        assert limit.try_acquire(100)
        limit.release(outcome, 0.1, 100)
        assert limit.limit == expected


def test_a_cold_backend_server_gets_the_floor_at_once() -> None:
    reported = warm_limit()
    reported.observe(BackendReported(BackendState.COLD, 0), 100)
    assert reported.limit == 1
    slow = warm_limit()
    run_one(slow, 100, latency=0.29)
    assert not slow.is_warming
    run_one(slow, 101, latency=0.4)
    assert slow.limit == 1


def test_completions_of_attempts_from_before_the_fall_do_not_raise_the_limit() -> None:
    limit = warm_limit()
    for _ in range(3):
        assert limit.try_acquire(100)
    limit.observe(BackendReported(BackendState.COLD, 0), 100.05)
    for _ in range(3):
        limit.release(COMPLETED, 0.1, 100.1)
    assert limit.limit == 1
    run_one(limit, 101)
    assert limit.limit == 2


def test_a_lasting_change_of_latency_does_not_hold_the_limit_at_the_floor() -> None:
    limit = warm_limit()
    for now in range(100, 200, 2):
        run_one(limit, now, latency=1)
    assert not limit.is_warming


def test_a_report_never_raises_the_limit_and_a_stale_one_does_not_hold_it_down() -> None:
    limit = SlowStartLimit(LimitSettings(slots=4))
    limit.observe(BackendReported(BackendState.WARM, -7), 0)
    assert limit.limit == 1
    limit = warm_limit()
    limit.observe(BackendReported(BackendState.WARM, 99), 100)
    assert limit.limit == 1
    run_one(limit, 104)
    assert limit.limit == 4


def test_the_load_of_own_requests_does_not_lower_the_limit() -> None:
    limit = warm_limit()
    for _ in range(3):
        assert limit.try_acquire(100)
    limit.observe(BackendReported(BackendState.WARM, 0.75), 100)
    assert limit.limit == 4


def test_flow_limit_follows_the_limit() -> None:
    limit = SlowStartLimit(LimitSettings(slots=4))
    assert limit.flow_limit(2000) == 500
    assert warm_limit().flow_limit(2000) == 2000


def test_a_floor_below_one_slot_bounds_the_average_concurrency() -> None:
    limit = SlowStartLimit(LimitSettings(slots=1, floor=0.25))
    busy, now, step = 0, 0, 0.01
    while now < 20:
        if limit.try_acquire(now):
            limit.release(AttemptResult.SHED, 0.1, now + 0.1)
            busy += 0.1
            now += 0.1
        now += step
    assert 20 < 100 * busy / now <= 25


OUTCOMES = st.sampled_from(tuple(AttemptResult))
STEPS = st.lists(
    st.one_of(
        st.just('acquire'),
        st.tuples(OUTCOMES, st.floats(0.01, 5)),
        st.builds(
            BackendReported, st.sampled_from(tuple(BackendState)), st.floats(-1, 9)
        ),
    ),
    max_size=80,
)


def check_steps(limit_settings: LimitSettings, steps: list) -> list[str]:
    """Return how the rules were broken: rise without completion, or overload."""
    limit = SlowStartLimit(limit_settings)
    faults = []
    for number, step in enumerate(steps):
        now, before = number * 0.5, limit.limit
        if step == 'acquire':
            if limit.try_acquire(now) and limit.in_use > max(1, limit.limit):
                faults.append('more in use than the limit')
            continue
        if isinstance(step, BackendReported):
            limit.observe(step, now)
            if step.state is BackendState.COLD and limit.limit > limit_settings.floor:
                faults.append('cold and above the floor')
        elif limit.in_use:
            limit.release(step[0], step[1], now)
            if step[0] is not COMPLETED and limit.limit > before:
                faults.append('raised without a completion')
        if not limit_settings.floor <= limit.limit <= limit_settings.slots:
            faults.append('outside floor and slots')
    return faults


@settings(derandomize=True, max_examples=200)
@given(STEPS, st.sampled_from([(1, 0.25), (3, 1), (8, 0.5)]))
def test_any_sequence_keeps_the_limit_between_floor_and_slots(steps, figures) -> None:
    assert not check_steps(LimitSettings(*figures), steps)


def test_the_check_fails_without_slow_start() -> None:
    cold = [BackendReported(BackendState.COLD, 0)]
    assert check_steps(LimitSettings(3, 1, slow_start=False), cold)
