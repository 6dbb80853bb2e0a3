"""A backend runs a long request, its answer is lost by a reset: the request is run a second time elsewhere."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins import Backend, Deployment, Record, Request, play  # noqa: E402

LONG_BYTES = 8 << 20  # within `max_body_bytes`, 67108864
SHARE, LOST_SHARE, FOR_S = 0.5, 0.05, 4.0  # the site file's dose of answer_lost with how = "reset"
WORK_S, LONG_WORK_S = 0.06, 0.16
SHORT_EVERY_S, LONG_EVERY_S = 0.015, 0.5


async def case(record: Record, trouble: bool) -> str:
    """Plays 1 s of calm, FOR_S of trouble and 1 s of calm; returns which requests were run twice."""
    deployment = Deployment()
    deployment.record = record
    counts: dict[str, list[int]] = {}  # by lossy backend: runs in the trouble, answers lost
    until = [0.0]

    async def work(request: Request) -> None:
        long = request.length > 1 << 20
        await asyncio.sleep(LONG_WORK_S if long else WORK_S)
        mine = counts.get(request.backend.name)
        if trouble and mine is not None and time.monotonic() < until[0]:
            mine[0] += 1
            if long and mine[1] + 1 <= LOST_SHARE * mine[0]:
                mine[1] += 1
                record.note(f"backend {request.backend.name} has run {request.attempt}; its answer is lost by a reset")
                return request.reset()
        request.answer()

    deployment.backends = [Backend(deployment, number, work) for number in range(6)]
    for backend in deployment.backends:
        backend.stream = lambda request: request.length > 1 << 20  # such a body is read on after the answer
    async with deployment:
        tasks: list[asyncio.Task[object]] = []
        begin = time.monotonic()
        until[0] = begin + 1.0 + FOR_S
        lossy = deployment.backends[: int(len(deployment.backends) * SHARE)]
        next_long = begin
        number = 0
        while time.monotonic() < until[0] + 1.0:
            now = time.monotonic()
            if now >= begin + 1.0 and not counts:
                counts.update({backend.name: [0, 0] for backend in lossy})
                record.note(f"answers may be lost at {', '.join(counts)} from now on: {'yes' if trouble else 'no'}")
            gateway = deployment.gateways[number % len(deployment.gateways)]
            number += 1
            if now >= next_long:
                next_long += LONG_EVERY_S
                sent = deployment.request(gateway, "POST", "/aendring/bulk", bytes(LONG_BYTES))
            else:
                sent = deployment.request(gateway, "POST", "/aendring/one", b"{}", note=False)
            tasks.append(asyncio.create_task(sent))
            await asyncio.sleep(SHORT_EVERY_S)
        answers = await asyncio.gather(*tasks)
        statuses: dict[int, int] = {}
        for answer in answers:
            statuses[answer.status] = statuses.get(answer.status, 0) + 1
        record.note(f"{len(answers)} requests, by status: {statuses}; runs and lost answers: {counts}")
        twice = {attempt: at for attempt, at in deployment.runs.items() if len(at) > 1}
        for attempt, at in twice.items():
            record.note(f"{attempt} was run {len(at)} times, by {', '.join(at)}")
    return f"TWICE: {len(twice)} requests that may not be repeated were run more than once" if twice else ""


if __name__ == "__main__":
    sys.exit(play(case, HERE))
