"""Frames and the handshake: an unknown or unauthenticated peer is rejected at once."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from embersill.tiers.messages import Ask, BadFrame, Batch, Beat, Grant, encoder, read_batch
from embersill.tiers.terms import Terms
from embersill.tiers.wire import (
    MAGIC,
    BatchSequence,
    Challenge,
    ForwarderSide,
    FrameReader,
    HandshakeError,
    PlannerSide,
    Proof,
    Secret,
    deployment_digest,
    length_prefixed,
    pack,
    rejection,
)

KNOWN = frozenset({"f1"})


def sides(
    planner_key: bytes = b"k" * 32, forwarder_key: bytes = b"k" * 32, name: str = "f1", planner: str = "p1"
) -> tuple[PlannerSide, ForwarderSide]:
    return (
        PlannerSide(Secret(planner_key), "p1", "life", b"n" * 32),
        ForwarderSide(Secret(forwarder_key), name, planner, b"m" * 32),
    )


def unframed(text: bytes) -> bytes:
    return next(FrameReader(1 << 20).feed(text))


def test_both_ends_prove_themselves() -> None:
    planner, forwarder = sides()
    proof = forwarder.read(unframed(planner.challenge()))
    assert proof is not None
    checked = planner.check(unframed(proof), KNOWN)
    assert checked.name == "f1" and forwarder.read(unframed(planner.welcome(checked, 7))) is None
    assert forwarder.token == 7


@pytest.mark.parametrize(
    "changed",
    [
        {"life": "x"},
        {"session": 2},
        {"via": "p3"},
        {"to": "p3"},
        {"name": "f2"},
    ],
)
def test_nothing_that_a_proof_says_can_be_changed_on_its_way(changed: dict[str, Any]) -> None:
    planner, forwarder = sides()
    proof = forwarder.read(unframed(planner.challenge()))
    assert proof is not None
    said: Proof = msgspec.msgpack.decode(unframed(proof), type=Proof)
    with pytest.raises(HandshakeError, match="wrong shared secret"):
        planner.check(msgspec.msgpack.encode(msgspec.structs.replace(said, **changed)), KNOWN)


def test_a_welcome_to_another_session_is_not_believed() -> None:
    planner, forwarder = sides()
    proof = forwarder.read(unframed(planner.challenge()))
    assert proof is not None
    welcome = msgspec.msgpack.decode(unframed(planner.welcome(planner.check(unframed(proof), KNOWN), 7)))
    with pytest.raises(HandshakeError, match="wrong shared secret"):
        forwarder.read(msgspec.msgpack.encode([*welcome[:-1], 8]))


@pytest.mark.parametrize(
    ("key", "name", "reason"),
    [
        (b"x" * 32, "f1", "wrong shared secret"),
        (b"k" * 32, "f9", "no forwarder"),
    ],
)
def test_a_planner_turns_strangers_away(key: bytes, name: str, reason: str) -> None:
    planner, forwarder = sides(forwarder_key=key, name=name)
    proof = forwarder.read(unframed(planner.challenge()))
    assert proof is not None
    with pytest.raises(HandshakeError, match=reason):
        planner.check(unframed(proof), KNOWN)


def test_a_forwarder_believes_no_planner_without_the_secret() -> None:
    planner, forwarder = sides()
    false, _ = sides(planner_key=b"x" * 32)
    forwarder.read(unframed(planner.challenge()))
    mac = false.secret.mac("planner", planner.sent_challenge, forwarder.proof)
    with pytest.raises(HandshakeError, match="wrong shared secret"):
        forwarder.read(msgspec.msgpack.encode(["welcome", mac]))
    with pytest.raises(HandshakeError, match="rejected by the other end: too late"):
        forwarder.read(unframed(rejection("too late")))


def test_a_proof_is_good_for_one_challenge_only() -> None:
    planner, forwarder = sides()
    proof = forwarder.read(unframed(planner.challenge()))
    assert proof is not None
    other = PlannerSide(Secret(b"k" * 32), "p1", "life", b"o" * 32)
    with pytest.raises(HandshakeError):
        other.check(unframed(proof), KNOWN)


def test_a_forwarder_links_only_to_the_planner_it_meant() -> None:
    planner, forwarder = sides(planner="p2")
    with pytest.raises(HandshakeError, match="where 'p2' is expected"):
        forwarder.read(unframed(planner.challenge()))


def test_files_that_differ_in_what_the_rules_rest_on_do_not_link() -> None:
    same = deployment_digest(["f1", "f2"], 64, Terms())
    assert deployment_digest(["f2", "f1"], 64, Terms()) == same
    for other in (
        deployment_digest(["f1"], 64, Terms()),
        deployment_digest(["f1", "f2"], 32, Terms()),
        deployment_digest(["f1", "f2"], 64, Terms(lease=1.0)),
    ):
        planner = PlannerSide(Secret(b"k" * 32, same), "p1", "life", b"n" * 32)
        forwarder = ForwarderSide(Secret(b"k" * 32, other), "f1", "p1", b"m" * 32)
        proof = forwarder.read(unframed(planner.challenge()))
        assert proof is not None
        with pytest.raises(HandshakeError, match="the operator files differ"):
            planner.check(unframed(proof), KNOWN)


def test_another_version_is_named() -> None:
    _, forwarder = sides()
    with pytest.raises(HandshakeError, match="version 99 where 2"):
        forwarder.read(msgspec.msgpack.encode(Challenge(MAGIC, 99, "p1", "life", b"n" * 32, "")))
    planner, _ = sides()
    with pytest.raises(HandshakeError, match="version 99 where 2"):
        planner.check(msgspec.msgpack.encode(Proof(MAGIC, 99, "f1", b"m" * 32, "", b"")), KNOWN)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.binary(max_size=200))
def test_noise_is_a_stranger_or_a_bad_frame(noise: bytes) -> None:
    planner, forwarder = sides()
    with pytest.raises(HandshakeError):
        planner.check(noise, KNOWN)
    with pytest.raises(HandshakeError):
        forwarder.read(noise)
    with pytest.raises(BadFrame):
        read_batch(noise)


def test_frames_come_in_any_pieces() -> None:
    batches = [
        Batch(n, n, 0, [Ask(n, "lookup", "free", "c" * n, 1.0, 1.0, False), Beat(n, True, 1)])
        for n in range(1, 40)
    ]
    stream = b"".join(pack(batch) for batch in batches)
    for size in (1, 3, 7, 1000, len(stream)):
        reader, numbers, got = FrameReader(1 << 20), BatchSequence(), []
        for at in range(0, len(stream), size):
            got += [numbers.read(frame) for frame in reader.feed(stream[at : at + size])]
        assert got == batches and not reader.data


def test_a_frame_over_the_bound_is_refused_before_it_has_come() -> None:
    reader = FrameReader(1000)
    with pytest.raises(BadFrame, match="exceeds the limit of 1000"):
        list(reader.feed((1001).to_bytes(4, "big")))


@pytest.mark.parametrize("numbers", [(1, 1), (1, 3), (2,)])
def test_doubled_and_missing_batches_are_refused(numbers: tuple[int, ...]) -> None:
    reader = BatchSequence()
    with pytest.raises(BadFrame):
        for number in numbers:
            reader.read(encoder.encode(Batch(number, 0, 0, [])))


def test_deep_nesting_is_a_bad_frame() -> None:
    with pytest.raises(BadFrame):
        read_batch(b"\x91" * 100_000)


def test_a_message_with_a_wrong_type_is_a_bad_frame() -> None:
    text = msgspec.msgpack.encode([1, 0, 0, [[11, "one", 0, "b0", 1.0]]])
    with pytest.raises(BadFrame, match="Expected `int`"):
        read_batch(text)
    assert read_batch(msgspec.msgpack.encode([1, 0, 0, [[11, 1, 0, "b0", 1.0]]])).messages == [
        Grant(1, 0, "b0", 1.0)
    ]
    assert length_prefixed(b"ab") == b"\0\0\0\2ab"
