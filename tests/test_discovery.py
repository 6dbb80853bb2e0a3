"""Discovery: consecutive watches, recovery from failures, and drains that reach the pool and the gateway."""

from __future__ import annotations

import asyncio

import pytest

from embersill.control import Gateway
from embersill.interface import ListKind, Status
from embersill.net.discovery import BadList, Discovery, Listing, read_address, read_listing
from embersill.pacing import DiscoveryPacing
from tests.bed import request, run, running
from tests.peers import SOON, DiscoveryPeer, message


async def follow(peer: DiscoveryPeer) -> tuple[Discovery, asyncio.Queue[Listing]]:
    told: asyncio.Queue[Listing] = asyncio.Queue()
    discovery = Discovery(read_address(peer.address), 5.0, told.put_nowait)
    discovery.start()
    return discovery, told


def test_the_whole_list_then_watches_over_one_connection() -> None:
    async def test() -> None:
        peer = DiscoveryPeer()
        await peer.start()
        peer.entries = {"a": peer.entry("a", "127.0.0.1:9")}
        discovery, told = await follow(peer)
        first = await told.get()
        assert first.whole and first.entries[0].address == ("127.0.0.1", 9)
        await peer.until_asked(2)
        await peer.change(peer.entry("a", "127.0.0.1:9", "DRAINING"))
        second = await told.get()
        assert second.kind is ListKind.CHANGES and second.entries[0].backend.status is Status.DRAINING
        await peer.until_asked(3)
        assert "since=2&" in peer.asked[2] and peer.connections == 1
        discovery.stop()
        await peer.stop()

    run(test)


@pytest.mark.parametrize("way", ["broken", "refused", "rubbish"])
def test_after_a_failed_watch_the_whole_list_is_asked_for(way: str) -> None:
    # a watch from the old version would wait for the next change, or be refused again and again
    async def test() -> None:
        peer = DiscoveryPeer()
        await peer.start()
        discovery, told = await follow(peer)
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
        discovery.stop()
        await peer.stop()

    run(test)


def test_calls_that_an_agent_got_while_it_was_down_do_not_hold_the_next_one_up() -> None:
    async def test() -> None:
        peer = DiscoveryPeer()
        await peer.start()
        peer.deaf = 3
        told: asyncio.Queue[Listing] = asyncio.Queue()
        pace = DiscoveryPacing()
        pace.list_timeout, pace.base, pace.max_wait, pace.answer_timeout = 0.01, 0.001, 0.001, 3600.0
        discovery = Discovery(read_address(peer.address), 5.0, told.put_nowait, pace)
        discovery.start()
        async with asyncio.timeout(SOON):
            assert (await told.get()).whole
        assert len(peer.asked) == 4 and peer.connections == 4
        discovery.stop()
        await peer.stop()

    run(test)


def test_a_new_agent_takes_over_with_its_first_whole_list() -> None:
    # until then the old agent's news still counts: a drain reported meanwhile must be kept
    async def test() -> None:
        old, new = DiscoveryPeer(), DiscoveryPeer()
        await old.start()
        await new.start()
        discovery, told = await follow(old)
        await told.get()
        await old.until_asked(2)
        async with new.changed:  # delays the new one's answer
            discovery.move(read_address(new.address))
            await old.change(old.entry("a", "127.0.0.1:9", "DRAINING"))
            assert (await told.get()).entries[0].backend.status is Status.DRAINING
            new.entries = {"b": new.entry("b", "127.0.0.1:8")}
        listing = await told.get()
        assert listing.whole and listing.entries[0].backend.address == "b"
        await new.until_asked(2)
        await old.change(old.entry("c", "127.0.0.1:7"))
        await new.change(new.entry("d", "127.0.0.1:6"))
        assert (await told.get()).entries[0].backend.address == "d"  # and nothing from the old one
        discovery.stop()
        await old.stop()
        await new.stop()

    run(test)


def test_an_agent_that_can_not_be_reached_leaves_the_old_one_in_place() -> None:
    async def test() -> None:
        old, never = DiscoveryPeer(), DiscoveryPeer()
        await old.start()
        await never.start()
        await never.stop()
        discovery, told = await follow(old)
        await told.get()
        await old.until_asked(2)
        discovery.move(read_address(never.address))
        discovery.move(read_address(old.address))  # moved back, as after a mistake
        await old.change(old.entry("a", "127.0.0.1:9"))
        assert (await told.get()).entries[0].backend.address == "a"
        assert len(discovery.watchers) == 1 and old.connections == 1
        discovery.stop()
        await old.stop()

    run(test)


def test_an_address_that_goes_to_a_new_id_is_no_longer_the_old_one_s() -> None:
    # the old id's end may be reported later: until then its requests would reach, and overload, the new one
    async def test() -> None:
        async with running() as bed:
            client = await bed.client()
            assert (await client.ask(request(1)))[0] == 200
            asked = len(bed.discovery.asked)
            await bed.discovery.change(bed.discovery.entry("new", bed.backends[0].address))
            await bed.discovery.until_asked(asked + 1)
            driver = bed.program.driver
            assert isinstance(driver.gateway, Gateway)
            assert driver.serving == {"new"} == set(driver.pool.endpoints) == set(driver.gateway.servers)
            assert (await client.ask(request(2)))[0] == 200
            assert bed.backends[0].connections == 2  # no connection made for the old one

    run(test)


@pytest.mark.parametrize(
    "wrong",
    [
        {},
        [],
        {"generation": 1, "reset": True},
        {"generation": 1, "reset": True, "instances": [{}]},
        {"generation": 1, "reset": True, "instances": [{"instanceId": "a", "lifecycle": "ODD"}]},
        {
            "generation": 1,
            "reset": True,
            "instances": [{"instanceId": "a", "lifecycle": "SERVING", "hostPort": "nowhere"}],
        },
    ],
)
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
            await bed.discovery.until_asked(asked + 1)  # the next watch: the change has been applied
            seen = len(draining.seen)
            for number in range(8, 20):
                assert (await client.ask(request(number)))[0] == 200
            assert len(draining.seen) == seen and len(other.seen) >= 12

    run(test)


def test_a_service_that_turns_calls_away_is_asked_on_from_the_list_that_is_known() -> None:
    # fetching the whole list again would cost an overloaded service more each time
    async def test() -> None:
        peer = DiscoveryPeer()
        await peer.start()
        await peer.change(peer.entry("a", "127.0.0.1:9"))
        told: asyncio.Queue[Listing] = asyncio.Queue()
        pace = DiscoveryPacing(False, 1, 1)
        pace.base = pace.wait = 0.01
        discovery = Discovery(read_address(peer.address), 5.0, told.put_nowait, pace, 1)
        discovery.start()
        assert (await told.get()).entries[0].address == ("127.0.0.1", 9)
        await peer.until_asked(2)
        for writer in list(peer.open):
            writer.write(message(503))
        await peer.until_asked(3)
        assert all("since=" in asked for asked in peer.asked)
        discovery.stop()
        await peer.stop()

    run(test)
