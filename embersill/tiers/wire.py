"""Framing of a link, and the handshake in which each end proves that it knows the shared secret. No I/O.

A frame is a four-byte big-endian length followed by that many bytes. The first three frames on a link are the
handshake; every later frame is a batch, numbered from 1 without a gap:

1. planner: Challenge, with its nonce.
2. forwarder: Proof, with its nonce and an HMAC-SHA256 (RFC 2104) over all that both have sent.
3. planner: Welcome, with an HMAC over the same for the planner's role; or Rejected, with the reason, and a
   close.

The authentication is mutual, and neither end's proof can be used for the other's role or on another link. The
frames that follow are neither signed nor encrypted: links must run on a network that only the operator's
machines can reach.
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
NONCE_BYTES = 32
MAX_HANDSHAKE_BYTES = 1024  # largest frame before the other end is authenticated


class Challenge(msgspec.Struct, array_like=True, frozen=True, tag="challenge"):
    """The planner's first frame: who it is, and a nonce for the forwarder's proof."""

    magic: str
    version: int
    name: str
    incarnation: str
    nonce: bytes
    deployment: str  # digest of the settings that must be the same on both ends


class Proof(msgspec.Struct, array_like=True, frozen=True, tag="proof"):
    """The dialling forwarder, its process (`life`), and the session that the connection becomes a path of.

    `to`: the planner to which the dialled planner is to relay the connection; `via`: the planner that
    relays it.
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
    """`token` identifies the session on the dialled end: a changed token means a new session."""

    mac: bytes
    token: int = 0


class Rejected(msgspec.Struct, array_like=True, frozen=True, tag="turned"):
    """The planner's answer to a handshake that fails."""

    reason: str


class HandshakeError(Exception):
    """The other end is not a member of this deployment: wrong version, name or secret."""


@dataclass(frozen=True, slots=True)
class Secret:
    """The shared key of the members, and the deployment's digest, which is not secret."""

    key: bytes
    deployment: str = ""

    def mac(self, role: str, challenge: Challenge, proof: Proof, token: int = 0) -> bytes:
        """The MAC over all that both ends have sent, except the proof's own mac."""
        transcript = msgspec.msgpack.encode([role, challenge, msgspec.structs.replace(proof, mac=b""), token])
        return hmac.digest(self.key, transcript, "sha256")


def read_handshake(frame: bytes, *kinds: type[msgspec.Struct]) -> msgspec.Struct:
    """Decodes a handshake frame of one of the kinds; raises HandshakeError for anything else."""
    for kind in kinds:
        try:
            return msgspec.msgpack.decode(frame, type=kind)
        except (msgspec.DecodeError, msgspec.ValidationError, RecursionError):
            continue
    raise HandshakeError("not a handshake of this protocol")


def deployment_digest(forwarders: Iterable[str], parts: int, terms: Terms) -> str:
    """Digest of the settings that all members must share for shares and leases to be safe.

    The planners are not part of it, so that planners can be added and removed.
    """
    return digest_of([sorted(forwarders), parts, terms])


def digest_of(values: list[object]) -> str:
    """A short digest of values that must be the same on both ends of a link."""
    return hashlib.blake2b(msgspec.msgpack.encode(values), digest_size=8).hexdigest()


def check_handshake(message: Challenge | Proof) -> None:
    """Raises HandshakeError for another protocol or version, or a field of the wrong length."""
    if message.magic != MAGIC:
        raise HandshakeError("not a handshake of this protocol")
    if message.version != VERSION:
        raise HandshakeError(f"version {message.version} where {VERSION} is required")
    if not 0 < len(message.name) <= MAX_TEXT_CHARS or len(message.nonce) != NONCE_BYTES:
        raise HandshakeError("malformed handshake")
    if (
        isinstance(message, Proof)
        and max(len(message.life), len(message.via), len(message.to)) > MAX_TEXT_CHARS
    ):
        raise HandshakeError("malformed handshake")


class FrameReader:
    """Splits a byte stream into frames of at most `max_bytes` bytes."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.data = bytearray()

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Yields the frames that are complete; raises BadFrame as soon as a length exceeds the bound.

        Yields one at a time, since the end of the handshake raises the bound for the bytes right after it.
        """
        self.data += data
        offset = 0
        try:
            while len(self.data) - offset >= 4:
                size = int.from_bytes(self.data[offset : offset + 4], "big")
                if size > self.max_bytes:
                    raise BadFrame(f"frame of {size} bytes exceeds the limit of {self.max_bytes}")
                if len(self.data) - offset - 4 < size:
                    break
                offset += 4 + size
                yield bytes(self.data[offset - size : offset])
        finally:
            del self.data[:offset]


def length_prefixed(body: bytes) -> bytes:
    """A frame with this body."""
    return len(body).to_bytes(4, "big") + body


class BatchSequence:
    """Checks that the batches of one direction arrive in sequence: none twice, none missing."""

    def __init__(self) -> None:
        self.sent = self.got = 0

    def read(self, frame: bytes) -> Batch:
        """The next batch; raises BadFrame if it is not the next in sequence."""
        batch = read_batch(frame)
        if batch.number != self.got + 1:
            raise BadFrame(f"batch {batch.number} where {self.got + 1} is expected")
        self.got += 1
        return batch


def pack(batch: Batch) -> bytes:
    """A batch as a frame with its length."""
    return length_prefixed(encoder.encode(batch))


class PlannerSide:
    """The planner's side of the handshake: it sends `challenge` first, `check` verifies the proof."""

    def __init__(self, secret: Secret, name: str, incarnation: str, nonce: bytes) -> None:
        self.secret = secret
        self.sent_challenge = Challenge(MAGIC, VERSION, name, incarnation, nonce, secret.deployment)

    def challenge(self) -> bytes:
        """The first frame of the handshake."""
        return length_prefixed(msgspec.msgpack.encode(self.sent_challenge))

    def check(self, frame: bytes, known: frozenset[str]) -> Proof:
        """The proof of a known forwarder; raises HandshakeError for one that may not connect."""
        proof = read_handshake(frame, Proof)
        assert isinstance(proof, Proof)
        check_handshake(proof)
        # checks the MAC before the name, so that without the secret one can't learn which names are known
        mac = self.secret.mac("forwarder", self.sent_challenge, proof)
        if not hmac.compare_digest(mac, proof.mac):
            raise HandshakeError("wrong shared secret")
        if proof.deployment != self.secret.deployment:
            raise HandshakeError("the operator files differ in forwarders, parts or terms")
        if proof.name not in known:
            raise HandshakeError(f"no forwarder {proof.name!r} in the operator file")
        return proof

    def welcome(self, proof: Proof, token: int = 0) -> bytes:
        """The answer to a proof that `check` has accepted."""
        mac = self.secret.mac("planner", self.sent_challenge, proof, token)
        return length_prefixed(msgspec.msgpack.encode(Welcome(mac, token)))


class ForwarderSide:
    """The forwarder's side of the handshake."""

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
        """The proof to send for a challenge; None for the welcome; raises HandshakeError otherwise."""
        if self.challenge is None:
            received = read_handshake(frame, Challenge)
            assert isinstance(received, Challenge)
            check_handshake(received)
            if received.name != self.planner:
                raise HandshakeError(f"planner {received.name!r} where {self.planner!r} is expected")
            self.challenge = received
            mac = self.secret.mac("forwarder", received, self.proof)
            return length_prefixed(msgspec.msgpack.encode(msgspec.structs.replace(self.proof, mac=mac)))
        answer = read_handshake(frame, Welcome, Rejected)
        if isinstance(answer, Rejected):
            raise HandshakeError(f"rejected by the other end: {answer.reason[:MAX_TEXT_CHARS]}")
        assert isinstance(answer, Welcome)
        mac = self.secret.mac("planner", self.challenge, self.proof, answer.token)
        if not hmac.compare_digest(mac, answer.mac):
            raise HandshakeError("wrong shared secret")
        self.token = answer.token
        return None


def rejection(reason: str) -> bytes:
    """The frame that rejects a handshake."""
    return length_prefixed(msgspec.msgpack.encode(Rejected(reason)))
