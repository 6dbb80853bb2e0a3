"""Frames on a link, and how each end proves that it knows the shared secret. No I/O.

A frame is its length, four bytes big-endian, and that many bytes. The first three on a link are the
handshake, after which every frame is a batch, numbered from 1 without a gap:

1. planner: Challenge, with a nonce of its own.
2. forwarder: Proof, with a nonce of its own and an HMAC-SHA256 (RFC 2104) over all that both said.
3. planner: Welcome, with an HMAC over the same in its own name; or Turned, with the reason, and a close.

Both prove themselves, and neither's proof can be used for the other's or on another link. What follows is
neither signed nor encrypted: links belong on a network that only the operator's machines are on.
"""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import msgspec

from embersill.tiers.messages import MAX_TEXT_CHARS, VERSION, BadFrame, Batch, encoder, read_batch
from embersill.tiers.terms import Terms

MAGIC = "embersill-tiers"
NONCE = 32  # bytes
MOST_HANDSHAKE = 1024  # bytes of a frame before the other end has proved itself


class Challenge(msgspec.Struct, array_like=True, frozen=True, tag="challenge"):
    magic: str
    version: int
    name: str
    incarnation: str
    nonce: bytes
    deployment: str  # digest of what both ends' files must say alike


class Proof(msgspec.Struct, array_like=True, frozen=True, tag="proof"):
    """Who dials, and which session of which life of it the connection belongs to, as one path more.

    `to`: the planner that the one dialled is to carry the connection to; `via`: who carries it.
    """

    magic: str
    version: int
    name: str
    nonce: bytes
    deployment: str
    mac: bytes
    life: str = ""
    session: int = 0
    via: str = ""
    to: str = ""


class Welcome(msgspec.Struct, array_like=True, frozen=True, tag="welcome"):
    """`token` names the session as the one dialled has it: another than before is a new session."""

    mac: bytes
    token: int = 0


class Turned(msgspec.Struct, array_like=True, frozen=True, tag="turned"):
    reason: str


class Stranger(Exception):
    """The other end is not one of this deployment's: wrong version, name or secret."""


@dataclass(frozen=True, slots=True)
class Secret:
    """What a member has to know: the shared key, and the deployment's digest, which is no secret."""

    key: bytes
    deployment: str = ""

    def mac(self, role: str, challenge: Challenge, proof: Proof, token: int = 0) -> bytes:
        """Over all that both ends said, but for the proof's own mac."""
        said = msgspec.msgpack.encode([role, challenge, msgspec.structs.replace(proof, mac=b""), token])
        return hmac.digest(self.key, said, "sha256")


def read_handshake(frame: bytes, *kinds: type[msgspec.Struct]) -> msgspec.Struct:
    """A handshake frame of one of the kinds; Stranger for anything else."""
    for kind in kinds:
        try:
            return msgspec.msgpack.decode(frame, type=kind)
        except (msgspec.DecodeError, msgspec.ValidationError, RecursionError):
            continue
    raise Stranger("no handshake of this protocol")


def digest(forwarders: Iterable[str], parts: int, terms: Terms) -> str:
    """Shares and leases hold only among members that count them alike; planners may come and go."""
    return digest_of([sorted(forwarders), parts, terms])


def digest_of(said: list[object]) -> str:
    """What both ends of a link have to say alike, in few characters."""
    return hashlib.blake2b(msgspec.msgpack.encode(said), digest_size=8).hexdigest()


def check_form(said: Challenge | Proof) -> None:
    if said.magic != MAGIC:
        raise Stranger("no handshake of this protocol")
    if said.version != VERSION:
        raise Stranger(f"version {said.version} where {VERSION} is spoken here")
    if not 0 < len(said.name) <= MAX_TEXT_CHARS or len(said.nonce) != NONCE:
        raise Stranger("a handshake out of form")
    if isinstance(said, Proof) and max(len(said.life), len(said.via), len(said.to)) > MAX_TEXT_CHARS:
        raise Stranger("a handshake out of form")


class FrameReader:
    """Cuts a stream into frames of at most `most` bytes."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.data = bytearray()

    def feed(self, data: bytes) -> Iterator[bytes]:
        """The frames that are whole now; BadFrame as soon as one says that it is over the bound.

        One at a time: the handshake's end raises the bound for what stands right behind it.
        """
        self.data += data
        at = 0
        try:
            while len(self.data) - at >= 4:
                size = int.from_bytes(self.data[at : at + 4], "big")
                if size > self.most:
                    raise BadFrame(f"a frame of {size} bytes, over the bound of {self.most}")
                if len(self.data) - at - 4 < size:
                    break
                at += 4 + size
                yield bytes(self.data[at - size : at])
        finally:
            del self.data[:at]


def framed(body: bytes) -> bytes:
    return len(body).to_bytes(4, "big") + body


class Numbers:
    """Holds the batches of one direction to their order: none twice, none missing."""

    def __init__(self) -> None:
        self.sent = self.got = 0

    def read(self, frame: bytes) -> Batch:
        batch = read_batch(frame)
        if batch.number != self.got + 1:
            raise BadFrame(f"batch {batch.number} where {self.got + 1} should come")
        self.got += 1
        return batch


def pack(batch: Batch) -> bytes:
    return framed(encoder.encode(batch))


class PlannerSide:
    """The handshake as the planner has it: `challenge` goes out first, `check` takes the proof."""

    def __init__(self, secret: Secret, name: str, incarnation: str, nonce: bytes) -> None:
        self.secret = secret
        self.said = Challenge(MAGIC, VERSION, name, incarnation, nonce, secret.deployment)

    def challenge(self) -> bytes:
        return framed(msgspec.msgpack.encode(self.said))

    def check(self, frame: bytes, known: frozenset[str]) -> Proof:
        """What a forwarder that is known here says of itself; Stranger for one that may not link."""
        proof = read_handshake(frame, Proof)
        assert isinstance(proof, Proof)
        check_form(proof)
        # the proof before the name: who does not know the secret learns nothing of who is known
        mac = self.secret.mac("forwarder", self.said, proof)
        if not hmac.compare_digest(mac, proof.mac):
            raise Stranger("a wrong secret")
        if proof.deployment != self.secret.deployment:
            raise Stranger("the operator files differ in forwarders, parts or terms")
        if proof.name not in known:
            raise Stranger(f"no forwarder {proof.name!r} in the operator file")
        return proof

    def welcome(self, proof: Proof, token: int = 0) -> bytes:
        """The answer to a proof that was checked."""
        mac = self.secret.mac("planner", self.said, proof, token)
        return framed(msgspec.msgpack.encode(Welcome(mac, token)))


class ForwarderSide:
    """The handshake as the forwarder has it."""

    def __init__(
        self,
        secret: Secret,
        name: str,
        planner: str,
        nonce: bytes,
        *,
        life: str = "",
        session: int = 0,
        via: str = "",
        to: str = "",
    ) -> None:
        self.secret, self.planner, self.token = secret, planner, 0
        self.proof = Proof(MAGIC, VERSION, name, nonce, secret.deployment, b"", life, session, via, to)
        self.challenge: Challenge | None = None

    def read(self, frame: bytes) -> bytes | None:
        """The proof to send for a challenge, None for the welcome after it; Stranger for anything else."""
        if self.challenge is None:
            said = read_handshake(frame, Challenge)
            assert isinstance(said, Challenge)
            check_form(said)
            if said.name != self.planner:
                raise Stranger(f"planner {said.name!r} where {self.planner!r} should be")
            self.challenge = said
            mac = self.secret.mac("forwarder", said, self.proof)
            return framed(msgspec.msgpack.encode(msgspec.structs.replace(self.proof, mac=mac)))
        answer = read_handshake(frame, Welcome, Turned)
        if isinstance(answer, Turned):
            raise Stranger(f"turned away: {answer.reason[:MAX_TEXT_CHARS]}")
        assert isinstance(answer, Welcome)
        mac = self.secret.mac("planner", self.challenge, self.proof, answer.token)
        if not hmac.compare_digest(mac, answer.mac):
            raise Stranger("a wrong secret")
        self.token = answer.token
        return None


def turned(reason: str) -> bytes:
    return framed(msgspec.msgpack.encode(Turned(reason)))
