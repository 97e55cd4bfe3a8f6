"""What a deployment promises, checked at callers and backend servers."""

from collections.abc import Iterator, Sequence

from persimmonreach.proof.simulation import SERVICE, CallerFlow, World

# Requests are 0.3 s apart; the longest wait between retransmissions is 1.6 s.
_SILENCE_S = 3.0


def find_broken(world: World, flows: Sequence[CallerFlow]) -> Iterator[str]:
    """Yield one line for each promise that was not kept."""
    broken = world.broken(flows)
    if broken:
        yield f'{len(broken)} flows reset although their holder lives'
    requests = [run.request for run in world.runs]
    repeated = len(requests) - len(set(requests))
    if repeated:
        yield f'{repeated} requests run twice'
    strays = _count_strays(world)
    if strays:
        yield f'{strays} requests run by another service'
    silent = [flow for flow in flows if _is_silent(world, flow)]
    if silent:
        yield f'{len(silent)} open flows without an answer for {_SILENCE_S} s'


def _count_strays(world: World) -> int:
    others = {
        node.listed.agent
        for node in world.agents.values()
        if node.listed.service != SERVICE
    }
    return sum(run.backend.split('-')[0] in others for run in world.runs)


def _is_silent(world: World, flow: CallerFlow) -> bool:
    if flow.state != 'open' or world.holder(flow) is None:
        return False
    answered_at = max(flow.answers.values(), default=flow.opened_at)
    return flow.is_waiting and world.now - answered_at > _SILENCE_S
