"""Discovery: watches follow each other, failures are got over, and drains reach the pool and the module."""

from __future__ import annotations

import asyncio

import pytest

from embersill.interface import ListKind, Status
from embersill.net.discovery import BadList, Discovery, Listing, read_listing
from tests.bed import request, run, running
from tests.peers import DiscoveryPeer, message


async def follow(peer: DiscoveryPeer) -> tuple[asyncio.Task[None], asyncio.Queue[Listing]]:
    told: asyncio.Queue[Listing] = asyncio.Queue()
    host, _, port = peer.address.rpartition(":")
    discovery = Discovery((host, int(port)), 5.0, told.put_nowait)
    return asyncio.get_running_loop().create_task(discovery.run()), told


def test_the_whole_list_then_watches_over_one_connection() -> None:
    async def test() -> None:
        peer = DiscoveryPeer()
        await peer.start()
        peer.entries = {"a": peer.entry("a", "127.0.0.1:9")}
        task, told = await follow(peer)
        first = await told.get()
        assert first.whole and first.entries[0].address == ("127.0.0.1", 9)
        await peer.until_asked(2)
        await peer.change(peer.entry("a", "127.0.0.1:9", "DRAINING"))
        second = await told.get()
        assert second.kind is ListKind.CHANGES and second.entries[0].backend.status is Status.DRAINING
        await peer.until_asked(3)
        assert "since=2&" in peer.asked[2] and peer.connections == 1
        task.cancel()
        await peer.stop()

    run(test)


@pytest.mark.parametrize("way", ["broken", "refused", "rubbish"])
def test_after_a_failed_watch_the_whole_list_is_asked_for(way: str) -> None:
    # a watch from the old version would wait for a next change, or be refused again and again
    async def test() -> None:
        peer = DiscoveryPeer()
        await peer.start()
        task, told = await follow(peer)
        await told.get()
        await peer.until_asked(2)
        for writer in list(peer.open):
            if way == "broken":
                writer.transport.abort()
            else:
                writer.write(message(410) if way == "refused" else message(200, b"rubbish"))
        listing = await told.get()
        assert listing.whole and "since" not in peer.asked[2]
        await peer.until_asked(4)
        await peer.change({"instanceId": "a", "lifecycle": "DELETED"})
        assert (await told.get()).entries[0].backend.status is Status.GONE
        task.cancel()
        await peer.stop()

    run(test)


@pytest.mark.parametrize("wrong", [
    {}, [], {"generation": 1, "reset": True}, {"generation": 1, "reset": True, "instances": [{}]},
    {"generation": 1, "reset": True, "instances": [{"instanceId": "a", "lifecycle": "ODD"}]},
    {"generation": 1, "reset": True, "instances": [
        {"instanceId": "a", "lifecycle": "SERVING", "hostPort": "nowhere"}]},
])
def test_a_list_out_of_form_is_told(wrong: object) -> None:
    with pytest.raises(BadList):
        read_listing(wrong)


def test_nothing_is_written_to_a_backend_that_drains() -> None:
    async def test() -> None:
        async with running(backends=2) as bed:
            client = await bed.client()
            for number in range(8):
                assert (await client.ask(request(number)))[0] == 200
            draining, other = bed.backends
            asked = len(bed.discovery.asked)
            await bed.discovery.change(bed.discovery.entry("b0", draining.address, "DRAINING"))
            await bed.discovery.until_asked(asked + 1)  # the next watch: the change was taken in
            seen = len(draining.seen)
            for number in range(8, 20):
                assert (await client.ask(request(number)))[0] == 200
            assert len(draining.seen) == seen and len(other.seen) >= 12

    run(test)
