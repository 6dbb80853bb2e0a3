"""The driver: one final answer for each request, the gateway's decisions performed, and the fallback."""

from __future__ import annotations

import asyncio

import pytest

from embersill.control import Gateway
from embersill.interface import Action, Event, Fail, Request, Send
from tests.bed import Bed, request, roomy_settings, run, running
from tests.peers import Asked, Step, message, serve


def says(text: bytes) -> Step:
    return lambda writer, asked: writer.write(text)


def cuts(writer: asyncio.StreamWriter, asked: Asked) -> None:
    writer.transport.abort()


def scripted(bed: Bed, step: Step) -> None:
    """Makes the first attempt meet `step`, whichever backend the gateway chooses for it."""
    done: list[bool] = []

    def once(writer: asyncio.StreamWriter, asked: Asked) -> None:
        if done:
            serve(writer, asked)
        else:
            done.append(True)
            step(writer, asked)

    for backend in bed.backends:
        backend.script = [once, once, once]


@pytest.mark.parametrize(
    ("step", "klass", "status", "attempts"),
    [
        (says(message(503, b"", "X-Rejected: 1")), "extract", 200, 2),
        (says(message(503)), "extract", 502, 1),
        (says(message(500)), "extract", 502, 1),
        (says(b"rubbish\r\n\r\n"), "extract", 502, 1),
        (cuts, "extract", 502, 1),
        (cuts, "lookup", 200, 2),
        (cuts, "report", 200, 2),
    ],
)
def test_only_what_never_ran_is_sent_again_where_repeats_do_harm(
    step: Step, klass: str, status: int, attempts: int
) -> None:
    async def test() -> None:
        async with running(backends=2) as bed:
            scripted(bed, step)
            client = await bed.client()
            assert (await client.ask(request(1, klass)))[0] == status
            assert len(bed.seen()) == attempts

    run(test)


def test_a_backend_that_refuses_connections_costs_an_unsafe_request_nothing() -> None:
    async def test() -> None:
        async with running(backends=2) as bed:
            await bed.backends[0].stop()
            client = await bed.client()
            for number in range(6):
                assert (await client.ask(request(number, "extract")))[0] == 200

    run(test)


def test_a_backend_moves_to_another_address() -> None:
    async def test() -> None:
        async with running(backends=2) as bed:
            client = await bed.client()
            await bed.discovery.change(bed.discovery.entry("b1", bed.backends[1].address, "DELETED"))
            await bed.discovery.until_asked(3)
            assert (await client.ask(request(1)))[0] == 200
            await bed.discovery.change(bed.discovery.entry("b0", bed.backends[1].address))
            await bed.discovery.until_asked(4)
            assert (await client.ask(request(2)))[0] == 200
            assert [len(b.seen) for b in bed.backends] == [1, 1]

    run(test)


def test_a_silent_backend_gives_a_final_answer_before_the_client_leaves() -> None:
    async def test() -> None:
        async with running() as bed:
            bed.backends[0].script = [says(b"")]
            client = await bed.client()
            client.send(request(1, "extract", budget=0.4))
            left = asyncio.get_running_loop().create_future()
            asyncio.get_running_loop().call_later(0.4, left.set_result, None)
            status, _, _ = await client.answer()
            assert status == 502 and not left.done()
            await bed.backends[0].until(lambda: bed.backends[0].ended == 1)

    run(test)


@pytest.mark.parametrize("answer", ["nothing", "an error"])
def test_the_guard_answers_what_the_module_leaves(answer: str, monkeypatch: pytest.MonkeyPatch) -> None:
    def handle(self: Gateway, event: Event, now: float) -> list[Action]:
        if answer == "an error" and isinstance(event, Request):
            raise RuntimeError("it broke")
        return []

    async def test() -> None:
        async with running() as bed:
            client = await bed.client()
            monkeypatch.setattr(Gateway, "handle", handle)
            status, _, _ = await client.ask(request(1, budget=0.3))
            assert status == 504 and not bed.program.driver.pending

    run(test)


def test_a_second_final_answer_and_a_send_after_it_go_nowhere(monkeypatch: pytest.MonkeyPatch) -> None:
    def handle(self: Gateway, event: Event, now: float) -> list[Action]:
        if isinstance(event, Request):
            return [Fail(event.id), Fail(event.id), Send(event.id, "b0", 1.0)]
        return []

    async def test() -> None:
        async with running() as bed:
            client = await bed.client()
            monkeypatch.setattr(Gateway, "handle", handle)
            assert (await client.ask(request(1)))[0] == 502
            assert (await client.ask(request(2)))[0] == 502  # the next answer belongs to the next request
            assert not bed.seen()

    run(test)


def test_what_the_module_refuses_is_answered_at_once_with_advice_where_allowed() -> None:
    async def test() -> None:
        for allowed in (True, False):
            env = roomy_settings(retry_after=allowed)
            env["packages"][0].update(peak_units=16.0, units_per_s=0.001)
            async with running(env=env) as bed:
                client = await bed.client()
                answers = [await client.ask(request(n, units="8")) for n in range(3)]
                assert [a[0] for a in answers] == [200, 429, 429]
                assert ("retry-after" in answers[1][1]) == allowed

    run(test)


def test_thin_customers_are_read_from_the_counter() -> None:
    async def test() -> None:
        env = roomy_settings()
        env["packages"][0].update(peak_units=8.0, units_per_s=2.0)
        env["domain"]["count_limit"] = 5000.0
        async with running(env=env) as bed:
            client = await bed.client()
            assert (await client.ask(request(1, units="3")))[0] == 200
            assert bed.counter.calls[0][1] == 3.0

    run(test)
