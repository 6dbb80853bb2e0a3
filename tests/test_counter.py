"""The counter's connection: order, time-outs, silence, and whether a failed call may have been added."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from embersill.interface import CounterResult, Outcome
from embersill.net.counter import IDLE_LIMIT_S, SILENT_TIMEOUTS, Counter
from embersill.net.discovery import read_address
from tests.bed import run
from tests.peers import HOST, SOON, CounterPeer


class Told:
    """The reported ends of calls, in order, and a clock that the test moves."""

    def __init__(self) -> None:
        self.events: asyncio.Queue[CounterResult] = asyncio.Queue()
        self.now = 100.0

    async def next(self) -> tuple[str, Outcome, float]:
        event = await self.events.get()
        return event.name, event.outcome, event.total


@asynccontextmanager
async def calling(patience: float = 5.0) -> AsyncIterator[tuple[Counter, Told, CounterPeer]]:
    peer, told = CounterPeer(), Told()
    await peer.start()
    host, _, port = peer.address.rpartition(":")
    counter = Counter(lambda: told.now, (host, int(port)), patience, 5.0, told.events.put_nowait)
    yield counter, told, peer
    counter.close()
    await peer.stop()


def test_calls_are_pipelined_and_answered_in_order() -> None:
    async def test() -> None:
        async with calling() as (counter, told, peer):
            peer.free.clear()
            for amount in (1.5, 2.0, -0.5):
                counter.add("c1.7", amount, 4.0)
            peer.free.set()
            assert [(await told.next())[2] for _ in range(3)] == [1.5, 3.5, 3.0]
            assert peer.connections == 1

    run(test)


def test_a_late_answer_takes_its_place_in_line() -> None:
    # if it were dropped, its total would be taken for the next call's
    async def test() -> None:
        async with calling(0.02) as (counter, told, peer):
            peer.free.clear()
            counter.add("c1.7", 40.0, 4.0)
            assert await told.next() == ("c1.7", Outcome.TIMED_OUT, 0.0)
            counter.call_timeout = 5.0
            counter.add("c1.7", 2.0, 4.0)
            peer.free.set()
            assert await told.next() == ("c1.7", Outcome.SERVED, 42.0)
            assert told.events.empty() and peer.connections == 1

    run(test)


def test_a_silent_connection_is_given_up_for_later_calls() -> None:
    async def test() -> None:
        async with calling(0.02) as (counter, told, peer):
            peer.free.clear()
            counter.add("c1.7", 1.0, 4.0)
            assert (await told.next())[1] is Outcome.TIMED_OUT
            told.now += 1.1 * SILENT_TIMEOUTS * counter.call_timeout
            peer.free = asyncio.Event()  # the first connection stays silent
            peer.free.set()
            counter.call_timeout = 5.0
            told.now += SILENT_TIMEOUTS * counter.call_timeout
            counter.add("c1.7", 2.0, 4.0)
            assert await told.next() == ("c1.7", Outcome.SERVED, 3.0)
            assert peer.connections == 2

    run(test)


@pytest.mark.parametrize(
    ("reply", "outcome"),
    [
        (b"-BUSY too many\r\n", Outcome.TURNED_AWAY),
        (b"-ERR no such call\r\n", Outcome.ERROR),
        (b"+OK\r\n", Outcome.TIMED_OUT),
        (b"rubbish\r\n", Outcome.TIMED_OUT),
    ],
)
def test_replies_that_are_no_total(reply: bytes, outcome: Outcome) -> None:
    async def test() -> None:
        async with calling() as (counter, told, peer):
            peer.say = [reply]
            counter.add("c1.7", 1.0, 4.0)
            assert (await told.next())[1] is outcome
            counter.add("c1.7", 1.0, 4.0)
            assert await told.next() == ("c1.7", Outcome.SERVED, 2.0)

    run(test)


def test_a_call_that_was_written_when_its_connection_broke_may_have_been_added() -> None:
    async def test() -> None:
        async with calling() as (counter, told, peer):
            peer.free.clear()
            counter.add("c1.7", 1.0, 4.0)
            while not peer.calls:
                await asyncio.sleep(0)
            for writer in list(peer.open):
                writer.transport.abort()
            assert (await told.next())[1] is Outcome.TIMED_OUT

    run(test)


def test_a_call_that_could_not_be_written_added_nothing() -> None:
    async def test() -> None:
        async with calling() as (counter, told, peer):
            await peer.stop()
            counter.add("c1.7", 1.0, 4.0)
            assert (await told.next())[1] is Outcome.NO_CONNECTION

    run(test)


def test_a_call_given_up_while_its_line_came_up_is_never_written() -> None:
    async def test() -> None:
        async with calling() as (counter, told, peer):
            counter.call_timeout = 0.0
            counter.add("c1.7", 1.0, 4.0)
            line = next(x for x in counter.connections if x is not None)
            counter.time_out(line.unwritten[0][0])
            assert (await told.next())[1] is Outcome.NO_CONNECTION
            counter.call_timeout = 5.0
            counter.add("c1.7", 2.0, 4.0)
            assert (await told.next())[2] == 2.0
            assert peer.calls == [("c1.7", 2.0)]

    run(test)


def test_a_line_that_stood_idle_is_opened_anew() -> None:
    # the counter closes idle connections without notice: a call sent meanwhile may or may not be added
    async def test() -> None:
        async with calling() as (counter, told, peer):
            counter.add("c1.7", 1.0, 4.0)
            await told.next()
            told.now += IDLE_LIMIT_S + 0.1
            counter.add("c1.7", 1.0, 4.0)
            assert (await told.next())[2] == 2.0 and peer.connections == 2

    run(test)


def test_the_words_of_a_call() -> None:
    async def test() -> None:
        said: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()

        async def listen(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            said.set_result(await reader.read(1000))
            writer.close()

        server = await asyncio.start_server(listen, HOST, 0)
        told = Told()
        address = server.sockets[0].getsockname()
        counter = Counter(lambda: told.now, address, 5.0, 5.0, told.events.put_nowait)
        counter.add("c1.7", -2.5, 4.0)
        assert await said == b"*4\r\n$7\r\nCNT.ADD\r\n$4\r\nc1.7\r\n$4\r\n-2.5\r\n$4\r\n4000\r\n"
        counter.close()
        server.close()

    run(test)


@pytest.mark.parametrize(
    "reply",
    [
        b"$3\r\nnan\r\n",
        b"$3\r\ninf\r\n",
        b"$-1\r\n",
        b"$4\r\n\x00x1e\r\n",
        b"*0\r\n",
        b"+OK\r\n",
        b"-WHAT\r\n",
        b"$3\r\n1_0\r\n",
    ],
)
def test_a_reply_with_no_number_may_have_added_and_ends_its_line(reply: bytes) -> None:
    # later answers on that connection may belong to other calls; "nan" was taken for a total and set a level
    async def test() -> None:
        async with calling() as (counter, told, peer):
            peer.say = [reply]
            counter.add("c1.7", 3.0, 4.0)
            counter.add("c1.7", 4.0, 4.0)
            assert await told.next() == ("c1.7", Outcome.TIMED_OUT, 0.0)
            assert await told.next() == ("c1.7", Outcome.TIMED_OUT, 0.0)
            counter.add("c1.8", 5.0, 4.0)
            assert await told.next() == ("c1.8", Outcome.SERVED, 5.0) and peer.connections == 2

    run(test)


def test_after_a_move_new_calls_go_to_the_new_address_and_old_ones_are_still_heard() -> None:
    async def test() -> None:
        async with calling() as (counter, told, peer):
            other = CounterPeer()
            await other.start()
            peer.free.clear()
            counter.add("c1.7", 3.0, 4.0)
            async with asyncio.timeout(SOON):
                while not peer.calls:
                    await asyncio.sleep(0.001)
            counter.move(read_address(other.address))
            counter.add("c1.7", 4.0, 4.0)
            assert await told.next() == ("c1.7", Outcome.SERVED, 4.0)
            peer.free.set()
            assert await told.next() == ("c1.7", Outcome.SERVED, 3.0)
            assert peer.calls == [("c1.7", 3.0)] and other.calls == [("c1.7", 4.0)]
            async with asyncio.timeout(SOON):
                while counter.leaving or peer.open:  # the old connection closes after its last answer
                    await asyncio.sleep(0.001)
            await other.stop()

    run(test)


def test_where_a_counter_answers_twice_no_call_gets_anothers_total_again() -> None:
    """After a surplus answer each call waits for the answer of the call before it."""

    async def test() -> None:
        async with calling() as (counter, told, peer):
            peer.say = [b"$1\r\n1\r\n$1\r\n1\r\n"]
            counter.add("c1.7", 1.0, 4.0)
            assert await told.next() == ("c1.7", Outcome.SERVED, 1.0)
            async with asyncio.timeout(SOON):
                while not counter.unpipelined:
                    await asyncio.sleep(0.001)
            peer.say = [b"$1\r\n%d\r\n$1\r\n%d\r\n" % (n, n) for n in (3, 6, 9)]
            for name, amount in (("c1.8", 3.0), ("c1.9", 6.0), ("c1.10", 9.0)):
                counter.add(name, amount, 4.0)
            for name, total in (("c1.8", 3.0), ("c1.9", 6.0), ("c1.10", 9.0)):
                event = await told.next()
                # a call whose connection broke before it was written is reported so, without a total
                assert event in ((name, Outcome.SERVED, total), (name, Outcome.NO_CONNECTION, 0.0))

    run(test)
