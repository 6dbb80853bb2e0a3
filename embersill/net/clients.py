"""The HTTP server side: accepts clients, reads their requests, and writes each its answer in order."""

from __future__ import annotations

import asyncio
import errno
import logging
import re
import socket
from collections import deque
from collections.abc import Callable
from functools import lru_cache
from typing import cast

import httptools

from embersill.interface import Repeats, Settings
from embersill.net.driver import Call, Driver

MOST_BODY = 64 * 1024  # bytes of a request's body, by the protocol
MOST_HEAD = 32 * 1024  # bytes of request line and headers: a generous browser sends a quarter of it
MOST_PIPELINED = 16  # requests under way on one connection: further ones stay unread
PIECE = 8192  # bytes given to the parser at a time: so many small requests at most go past that bound
SETTLED = 0.1  # seconds unused from which a connection may make way: its next request may be here unread
STALLED = 5.0  # seconds without a byte from which a half-sent request may lose its place to another client
LINGER = 1.0  # seconds for a peer to read an error answer before its connection goes
BACKLOG = 1024
ACCEPT_AGAIN = 0.02  # seconds until the next try where no descriptor was left for a connection
ACCEPTS = 64  # connections taken in at one go, so that those at hand get their turn

CALL_ID = re.compile(rb"[0-9A-Za-z_.-]{1,64}")
CLIENT = re.compile(rb"[?&]client=([^&]*)")
CUSTOMER = re.compile(rb"[0-9A-Fa-f]{16}")
BUDGET = re.compile(rb"\d{1,6}(\.\d{1,9})?")
KEY = re.compile(rb"[!-~]{1,256}")
QUOTA = re.compile(rb"\s*([a-z_]+)\s*=\s*(\d{1,9}(?:\.\d{1,9})?)\s*")
SINGLE = frozenset((b"x-call-id", b"x-call-class", b"plan", b"x-budget", b"idempotency-key", b"quota-info",
                    b"x-again", b"content-length", b"host"))
REASONS = {
    200: b"OK", 400: b"Bad Request", 404: b"Not Found", 405: b"Method Not Allowed",
    413: b"Content Too Large", 417: b"Expectation Failed", 429: b"Too Many Requests",
    431: b"Request Header Fields Too Large", 502: b"Bad Gateway", 503: b"Service Unavailable",
    504: b"Gateway Timeout",
}

log = logging.getLogger("embersill")


class BadRequest(Exception):
    """What a client sent is not in the protocol's form."""

    def __init__(self, status: int, text: str, headers: bytes = b"") -> None:
        super().__init__(text)
        self.status, self.headers = status, headers


@lru_cache(maxsize=4096)
def read_quota(text: bytes) -> tuple[float, int, int]:
    """Units, spread and first of a Quota-Info; kept, since few different ones come again and again."""
    found: dict[bytes, float] = {}
    for part in text.split(b","):
        match = QUOTA.fullmatch(part)
        if match is None or match[1] in found:
            raise BadRequest(400, "Quota-Info is not in its form")
        found[match[1]] = float(match[2])
    try:
        units, width, first = found[b"units"], int(found[b"spread"]), int(found[b"first"])
    except KeyError as error:
        raise BadRequest(400, "Quota-Info lacks units, spread or first") from error
    if units <= 0 or width < 1:
        raise BadRequest(400, "Quota-Info has no units or no gateways")
    return units, width, first


class CallReader:
    """Turns requests into calls by the settings' classes and plans, and words what is wrong with the rest."""

    def __init__(self, settings: Settings) -> None:
        self.classes = {c.name: c for c in settings.classes}
        self.plans = {p.name for p in settings.plans}

    def read(self, received: float, method: bytes, target: bytes, headers: dict[bytes, bytes],
             body: bytes) -> Call:
        customer = self.customer(target)
        klass = self.classes.get(self.needed(headers, b"x-call-class").decode("latin-1"))
        if klass is None:
            raise BadRequest(400, "X-Call-Class names no class")
        wanted = b"GET" if klass.repeats is Repeats.SAFE else b"POST"
        if method != wanted:
            raise BadRequest(405, "the class goes by another method", b"Allow: %b\r\n" % wanted)
        plan = self.needed(headers, b"plan").decode("latin-1")
        if plan not in self.plans:
            raise BadRequest(400, "Plan names no plan")
        if body and method == b"GET":
            raise BadRequest(400, "a GET with a body")
        units, width, first = read_quota(self.needed(headers, b"quota-info"))
        return Call(
            received=received, budget=float(self.matched(headers, b"x-budget", BUDGET)), klass=klass.name,
            plan=plan, customer=customer, units=units, width=width,
            first_gateway=first, repeat=headers.get(b"x-again") == b"1",
            head=self.head(method, target, headers, klass.repeats, body), body=body,
        )

    def head(self, method: bytes, target: bytes, headers: dict[bytes, bytes], repeats: Repeats,
             body: bytes) -> bytes:
        """What goes on to a backend, unchanged; the budget is the gateway's own and comes last."""
        lines = [b"%b %b HTTP/1.1" % (method, target), b"Host: %b" % headers.get(b"host", b"backend.local"),
                 b"X-Call-Id: %b" % self.matched(headers, b"x-call-id", CALL_ID)]
        if repeats is Repeats.BY_KEY:
            lines.append(b"Idempotency-Key: %b" % self.matched(headers, b"idempotency-key", KEY))
        elif b"idempotency-key" in headers:
            raise BadRequest(400, "Idempotency-Key on a class that carries none")
        if method != b"GET":
            lines.append(b"Content-Length: %d" % len(body))
            if b"content-type" in headers:
                lines.append(b"Content-Type: %b" % headers[b"content-type"])
        return b"\r\n".join((*lines, b""))

    def customer(self, target: bytes) -> str:
        found: list[bytes] = CLIENT.findall(target)
        if len(found) != 1 or not CUSTOMER.fullmatch(found[0]):
            raise BadRequest(400, "client is not 16 hex digits")
        return found[0].decode().lower()

    def needed(self, headers: dict[bytes, bytes], name: bytes) -> bytes:
        value = headers.get(name)
        if not value:
            raise BadRequest(400, f"no {name.decode().title()}")
        return value

    def matched(self, headers: dict[bytes, bytes], name: bytes, form: re.Pattern[bytes]) -> bytes:
        value = self.needed(headers, name)
        if not form.fullmatch(value):
            raise BadRequest(400, f"{name.decode().title()} is not in its form")
        return value


class Exchange:
    """One request on a connection and its answer, which goes out when those before it have gone."""

    __slots__ = ("connection", "keep", "number", "text")

    def __init__(self, connection: ClientConnection, keep: bool) -> None:
        self.connection, self.keep = connection, keep
        self.number = 0  # the driver's name for it, if it was taken
        self.text: bytes | None = None

    def answer(self, status: int, body: bytes, headers: bytes = b"") -> None:
        if self.text is not None:
            return
        self.keep = self.keep and not self.connection.ends_with(self)
        self.text = b"HTTP/1.1 %d %b\r\n%b%bContent-Length: %d\r\n\r\n%b" % (
            status, REASONS[status], headers, b"" if self.keep else b"Connection: close\r\n", len(body), body)
        self.connection.flush()


class ClientConnection(asyncio.Protocol):
    """One client connection: requests in, answers out in the same order."""

    def __init__(self, front: Front) -> None:
        self.front = front
        self.transport: asyncio.Transport | None = None
        self.exchanges: deque[Exchange] = deque()
        self.parser = httptools.HttpRequestParser(self)
        self.idle_since = front.clock()
        self.received = 0.0
        self.unread = b""
        self.paused = self.ended = self.closing = self.stuck = self.parsing = False
        self.in_request, self.in_head, self.head_size = False, False, 0
        self.start_request()

    def start_request(self) -> None:
        self.target, self.body_size = b"", 0
        self.headers: dict[bytes, bytes] = {}
        self.body: list[bytes] = []
        self.bad: BadRequest | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is one in all but its bases
        self.front.connections.add(self)

    # what the parser tells

    def on_message_begin(self) -> None:
        self.start_request()
        self.in_request = self.in_head = True
        self.head_size = 0  # pieces end in the midst of many heads: each has the whole bound

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        name = name.lower()
        if name in SINGLE and name in self.headers:
            self.bad = BadRequest(400, f"{name.decode()} stands twice")
        self.headers[name] = value.strip()

    def on_headers_complete(self) -> None:
        self.in_head = False
        length = self.headers.get(b"content-length", b"")
        if length.isdigit() and int(length) > MOST_BODY:
            self.bad = BadRequest(413, "the body is over 64 KiB")
        elif b"expect" in self.headers and not self.exchanges and self.transport is not None:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        self.body_size += len(body)
        if self.body_size > MOST_BODY:
            self.bad = BadRequest(413, "the body is over 64 KiB")
        else:
            self.body.append(body)

    def on_message_complete(self) -> None:
        self.in_request = False
        if self.ended:
            return
        keep = self.parser.should_keep_alive() and self.parser.get_http_version() == "1.1"
        exchange = Exchange(self, keep)
        self.exchanges.append(exchange)
        self.ended = not keep  # nothing after it is read
        try:
            if self.bad is not None:
                raise self.bad
            self.route(exchange)
        except BadRequest as error:
            self.refuse(exchange, error)

    def refuse(self, exchange: Exchange, error: BadRequest) -> None:
        body = b"" if self.parser.get_method() == b"HEAD" else f"{error}\n".encode()
        exchange.answer(error.status, body, error.headers)

    def route(self, exchange: Exchange) -> None:
        method, path = self.parser.get_method(), self.target.partition(b"?")[0]
        if path == b"/api":
            if method not in (b"GET", b"POST"):
                raise BadRequest(405, "only GET and POST", b"Allow: GET, POST\r\n")
            front = self.front
            call = front.reader.read(self.received, method, self.target, self.headers, b"".join(self.body))
            exchange.number = front.driver.take(call, exchange)
        elif path == b"/ready":
            if method != b"GET":
                raise BadRequest(405, "only GET", b"Allow: GET\r\n")
            exchange.answer(200 if self.front.is_ready() else 503, b"")
        else:
            raise BadRequest(404, "no such path")

    # what the transport tells

    def data_received(self, data: bytes) -> None:
        if self.ended:
            return  # the last answer is on its way; what still comes is read only so that it gets there
        self.received = self.front.clock()
        self.unread = self.unread + data if self.unread else data
        self.read_on()

    def read_on(self) -> None:
        """Parses what has come, as far as the bound on requests under way allows."""
        while self.unread and not (self.ended or self.is_full()):
            piece = self.unread
            if len(piece) > PIECE:
                piece = piece[:PIECE]
            self.unread = self.unread[len(piece):]
            self.parse(piece)
        self.pace()

    def parse(self, piece: bytes) -> None:
        self.parsing = True  # an answer given at once must not start the parser again from inside itself
        try:
            self.parser.feed_data(piece)
        except httptools.HttpParserError:
            self.break_off(400, "not HTTP")
        except httptools.HttpParserUpgrade:
            self.ended = True  # the answer to the request itself has been or will be given
        self.parsing = False
        self.head_size += len(piece) if self.in_head else 0
        if self.bad is not None and self.bad.status == 413 and self.in_request:
            self.break_off(413, str(self.bad))
        elif self.head_size > MOST_HEAD:
            self.break_off(431, "the head is over 32 KiB")

    def break_off(self, status: int, text: str) -> None:
        """Answers a request that can't be read to its end; what follows it can't be read either."""
        if self.ended:
            return
        self.ended = True
        exchange = Exchange(self, False)
        self.exchanges.append(exchange)
        exchange.answer(status, f"{text}\n".encode())

    def is_full(self) -> bool:
        return self.stuck or len(self.exchanges) >= MOST_PIPELINED

    def pace(self) -> None:
        """Stops reading while enough is under way: a client that only sends can't fill the memory."""
        full = self.is_full() or bool(self.unread)
        if self.transport is None or full == self.paused or self.ended:
            return
        self.paused = full
        if full:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def pause_writing(self) -> None:
        self.stuck = True  # the client does not read its answers: it gets no further ones
        self.pace()

    def resume_writing(self) -> None:
        self.stuck = False
        self.read_on()

    def flush(self) -> None:
        """Writes the answers that are due, up to the first request that has none yet."""
        if self.transport is None:
            return
        while self.exchanges and self.exchanges[0].text is not None:
            exchange = self.exchanges.popleft()
            self.transport.write(exchange.text or b"")
            if not exchange.keep:
                return self.end()
        self.idle_since = self.front.clock()
        if self.ended and not self.exchanges:
            return self.end()
        if self.unread and not self.parsing:
            return self.read_on()
        return self.pace()

    def end(self) -> None:
        """Closes after the last answer; the peer may have more on its way, which must not cut it off."""
        self.ended = self.closing = True
        if self.transport is not None and not self.transport.is_closing():
            if self.paused:
                self.transport.resume_reading()
                self.paused = False
            self.unread = b""
            self.transport.write_eof()
            asyncio.get_running_loop().call_later(LINGER, self.transport.close)

    def eof_received(self) -> bool:
        """The client sends no more. It may still read: only a broken connection tells that it has gone."""
        self.ended = True
        if self.closing or not self.exchanges:
            return False
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self.front.closed(self)
        self.transport = None
        self.ended = True
        exchanges, self.exchanges = self.exchanges, deque()
        for exchange in exchanges:
            if exchange.number and exchange.text is None:
                self.front.driver.client_left(exchange.number)

    def ends_with(self, exchange: Exchange) -> bool:
        """While the gateway stops: True for the last that was taken here, which is to say so in its answer.

        Said any earlier, it would leave those that were sent behind it without theirs.
        """
        if not self.front.stopping or self.unread or self.exchanges[-1] is not exchange:
            return False
        self.ended = True
        return True

    def drained(self) -> bool:
        """True once the kernel has all that was written here."""
        return self.transport is None or self.transport.get_write_buffer_size() == 0

    def is_idle(self) -> bool:
        """True if closing it loses nothing: no request was taken here, nor is one on its way."""
        if self.exchanges or self.closing or self.unread:
            return False
        now = self.front.clock()
        if self.in_request:
            return now - self.received > STALLED
        return now - self.idle_since > SETTLED


class Front:
    """The listening socket and its connections.

    Connections are accepted here and not by the loop's own server: where no descriptor is left that one
    would close them, and a request that was written to one of them would be lost.
    """

    def __init__(self, driver: Driver, settings: Settings, clock: Callable[[], float], most: int,
                 is_ready: Callable[[], bool]) -> None:
        self.driver, self.clock, self.most = driver, clock, most
        self.reader = CallReader(settings)
        self.serves = is_ready
        self.connections: set[ClientConnection] = set()
        self.taking_in: set[asyncio.Task[None]] = set()
        self.loop = asyncio.get_running_loop()
        self.listener: socket.socket | None = None
        self.again: asyncio.TimerHandle | None = None
        self.stopping = False

    def is_ready(self) -> bool:
        return not self.stopping and self.serves()

    def listen(self, address: tuple[str, int]) -> None:
        listener = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        listener.bind(address)
        listener.listen(BACKLOG)
        self.listener = listener
        self.loop.add_reader(listener, self.accept)

    def accept(self) -> None:
        self.again = None
        for _ in range(ACCEPTS):
            if self.listener is None:
                return
            if not self.has_room():
                return self.pause()
            try:
                sock, _ = self.listener.accept()
            except BlockingIOError:
                return
            except OSError as error:
                if error.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                    return self.pause()
                continue  # that client has gone again
            sock.setblocking(False)
            task = self.loop.create_task(self.take_in(sock))
            self.taking_in.add(task)
            task.add_done_callback(self.taking_in.discard)

    async def take_in(self, sock: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: ClientConnection(self), sock)
        except OSError:
            sock.close()

    def has_room(self) -> bool:
        """True if one more fits; the longest idle makes way, as its client can open another."""
        if len(self.connections) + len(self.taking_in) < self.most:
            return True
        oldest = min((c for c in self.connections if c.is_idle()), default=None, key=lambda c: c.idle_since)
        if oldest is not None:
            oldest.end()
        return False

    def pause(self) -> None:
        """Leaves connections in the kernel's queue, where nothing is lost, until there is room again."""
        if self.listener is not None and self.again is None:
            self.loop.remove_reader(self.listener)
            self.again = self.loop.call_later(ACCEPT_AGAIN, self.resume)

    def resume(self) -> None:
        self.again = None
        if self.listener is not None:
            self.loop.add_reader(self.listener, self.accept)
            self.accept()

    def closed(self, connection: ClientConnection) -> None:
        self.connections.discard(connection)

    def stop_listening(self) -> None:
        """Takes in what already waits, then listens no more."""
        if self.listener is not None:
            self.loop.remove_reader(self.listener)
            self.accept()
            if self.listener is not None:
                self.loop.remove_reader(self.listener)
                self.listener.close()
                self.listener = None

    async def wait_drained(self, at_most: float) -> None:
        """Waits until the kernel has every answer, but not for ever on a client that reads nothing."""
        end = self.clock() + at_most
        while any(not c.drained() for c in self.connections) and self.clock() < end:
            await asyncio.sleep(0.01)

    def close_idle(self) -> None:
        for connection in list(self.connections):
            if connection.is_idle():
                connection.end()
