"""The HTTP server: accepts clients, reads their requests, and writes the responses in the same order."""

from __future__ import annotations

import asyncio
import errno
import logging
import select
import socket
from collections import deque
from collections.abc import Callable
from operator import attrgetter
from typing import Protocol, cast

import httptools

from embersill.interface import Settings
from embersill.net.backends import BackendConnection
from embersill.net.calls import BadRequest, CallReader
from embersill.net.disconnects import LeftBy
from embersill.net.driver import Driver

MAX_BODY_BYTES = 64 * 1024  # of a request, by the protocol
MAX_HEAD_BYTES = 32 * 1024  # request line and headers: even large ones from browsers are a quarter of it
MAX_PIPELINED = 16  # requests in flight on one connection: further ones are not parsed
READ_AHEAD_BYTES = 8192  # read beyond these: on a connection that is not read no end is noticed
PARSE_BYTES = 8192  # parsed at a time: only the small requests in these can exceed MAX_PIPELINED
EVICTABLE_IDLE_S = 0.1  # a connection unused for so long may be evicted: new ones send a request at once
REQUEST_TIMEOUT_S = 2.0  # for a complete request, and for a new connection to send anything at all
IDLE_LIMIT_S = 10.0  # a connection unused for so long is closed
CROWDED_IDLE_LIMIT_S = 2.1  # the same while the listener is crowded
CROWDED_SHARE = 0.5  # of the allowed connections, from which on the listener is crowded
UNREAD_LIMIT_S = 5.0  # for a client to read its responses
SWEEP_INTERVAL_S = 0.25  # between checks of the time limits
MAX_BAD_REQUESTS = 4  # on one connection, after which it is closed
ERROR_PAUSE_S = 0.1  # no more is read after a bad request: each costs as much work as a valid one
CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR  # from poll, for a closed connection
LINGER_S = 1.0  # for a peer to read the last response before its connection is closed
MAX_EVICTIONS = 16  # connections evicted at a time: finding them costs more than closing them
BACKLOG = 1024
ACCEPT_RETRY_S = 0.02  # until the next try after there was no descriptor left for a connection
SLOW_REQUEST_TIMEOUT_S = 3.0  # instead of REQUEST_TIMEOUT_S, where clients take up to 2 s for a head
MIN_BODY_BYTES_PER_S = 32 * 1024  # the time limit grows with the bytes received, at this rate
STREAM_BUFFER_BYTES = 64 * 1024  # the kernel's send buffer for a client that gets a streamed response
DRAIN_CLOSE_DELAY_S = 0.3  # from a drain's begin until clients are disconnected: new ones stop by then
DRAIN_IDLE_LIMIT_S = 0.4  # a connection unused for so long is closed during a drain
MAX_ACCEPTS = 64  # connections accepted at a time, so that the existing ones get their turn

SINGLE_HEADERS = frozenset(
    (
        b"x-call-id",
        b"x-call-class",
        b"plan",
        b"x-budget",
        b"idempotency-key",
        b"quota-info",
        b"x-again",
        b"content-length",
        b"host",
        b"x-attempt-id",
        b"x-key",
        b"x-deadline-remaining-ms",
    )
)
REASONS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}

log = logging.getLogger("embersill")


class Exchange:
    """One request and its response, which is written after those before it on the connection."""

    __slots__ = ("chunked", "connection", "keep", "number", "reserved", "source", "text")

    def __init__(self, connection: ClientConnection, keep: bool) -> None:
        self.connection, self.keep = connection, keep
        self.number = 0  # the driver's number for it, if it was accepted
        self.text: bytes | None = None
        self.source: BackendConnection | None = None  # the connection from which a response is being streamed
        self.chunked, self.reserved = False, 0

    def begin(self, headers: bytes, length: int | None, source: BackendConnection) -> Exchange:
        """Begins a streamed response; without a length it is chunked."""
        self.keep = self.keep and not self.connection.must_close_after(self)
        self.source, self.chunked = source, length is None
        framing = b"Transfer-Encoding: chunked" if length is None else b"Content-Length: %d" % length
        close = b"" if self.keep else b"Connection: close\r\n"
        self.text = b"HTTP/1.1 200 OK\r\n%b%b%b\r\n\r\n" % (headers, close, framing)
        self.connection.shrink_send_buffer()
        self.connection.flush()
        return self

    def send_piece(self, data: bytes) -> bool:
        """Writes a piece; False if the client's buffer is full."""
        self.text = (self.text or b"") + (b"%x\r\n%b\r\n" % (len(data), data) if self.chunked else data)
        self.connection.flush()
        return self.connection.has_room_for(self)

    def done(self, whole: bool) -> None:
        """Ends a streamed response, or aborts it if it is not complete."""
        self.source = None
        if not whole:
            return self.connection.abort_response()
        self.text = (self.text or b"") + (b"0\r\n\r\n" if self.chunked else b"")
        return self.connection.flush()

    def answer(self, status: int, body: bytes, headers: bytes = b"") -> None:
        """Sends a complete response, unless there is one."""
        if self.text is not None:
            return
        self.keep = self.keep and not self.connection.must_close_after(self)
        self.text = b"HTTP/1.1 %d %b\r\n%b%bContent-Length: %d\r\n\r\n%b" % (
            status,
            REASONS.get(status, b"Status"),
            headers,
            b"" if self.keep else b"Connection: close\r\n",
            len(body),
            body,
        )
        self.connection.flush()


class RequestHandler(Protocol):
    """Handles complete requests: passes each on, answers it, or rejects it."""

    def take(self, connection: ClientConnection, exchange: Exchange, method: bytes) -> None:
        """Handles a request; its target, headers and body are attributes of the connection.

        Raises BadRequest for an invalid request.
        """
        ...


class ClientConnection(asyncio.Protocol):
    """One client connection: requests in, responses out in the same order."""

    def __init__(self, front: Front) -> None:
        self.front = front
        self.transport: asyncio.Transport | None = None
        self.exchanges: deque[Exchange] = deque()
        self.descriptor = -1
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.idle_since = self.begun = (
            front.clock()
        )  # since when there is no request; when the present one began
        self.received = self.ended_at = self.stuck_since = 0.0
        self.errors = 0
        self.error_pause: asyncio.TimerHandle | None = None  # after a bad request, nothing is read until then
        self.unread = b""
        self.used = False  # a request has begun on it: empty lines do not count
        self.paused = self.ended = self.closing = self.stuck = self.parsing = False
        self.left = False  # the client closed the connection, or it broke
        self.in_request, self.in_head, self.head_size = False, False, 0
        self.reserved = 0  # bytes reserved for a long body
        self.start_request()

    def start_request(self) -> None:
        """Resets the state of the request that is being read."""
        self.target, self.body_size = b"", 0
        self.headers: dict[bytes, bytes] = {}
        self.body: list[bytes] = []
        self.bad: BadRequest | None = None
        if self.reserved:  # by a body that was not read to its end
            self.front.release_room(self.reserved)
            self.reserved = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Transport callback: registers the connection."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is one in all but its bases
        self.descriptor = self.transport.get_extra_info("socket").fileno()
        self.front.connections.add(self)

    # parser callbacks

    def on_message_begin(self) -> None:
        """Parser callback."""
        self.start_request()
        self.used = True
        self.begun = self.received
        self.in_request = self.in_head = True
        self.head_size = 0  # counted per parsed piece: a head that begins within one gets the full limit

    def on_url(self, url: bytes) -> None:
        """Parser callback; a target may arrive in several pieces."""
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser callback: rejects repeated headers that must be unique."""
        name, headers = name.lower(), self.headers
        if name in headers and name in SINGLE_HEADERS:
            self.bad = BadRequest(400, f"{name.decode()} stands twice")
        elif name in headers:  # several header lines make one list
            value = headers[name] + (b"; " if name == b"cookie" else b", ") + value
        headers[name] = value.strip()

    def on_headers_complete(self) -> None:
        """Parser callback: reserves room for a long body, and answers Expect."""
        self.in_head = False
        length = self.headers.get(b"content-length", b"")
        if length.isdigit() and int(length) > MAX_BODY_BYTES and not self.reserve(int(length)):
            pass
        elif b"expect" in self.headers and not self.exchanges and self.transport is not None:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Parser callback: keeps a piece of the body while there is room."""
        self.body_size += len(body)
        if self.body_size <= MAX_BODY_BYTES or self.body_size <= self.reserved:
            self.body.append(body)
        elif self.bad is None and self.reserve(self.body_size - self.reserved + MAX_BODY_BYTES):
            self.body.append(body)

    def reserve(self, size: int) -> bool:
        """Reserves room for a long body, or for more of it; without room the request is rejected unsent."""
        if self.front.reserve_room(size):
            self.reserved += size
            return True
        fits = self.reserved + size <= self.front.body_room_total
        self.bad = (
            BadRequest(503, "too many long bodies at a time")
            if fits
            else BadRequest(
                413, "the body is over 64 KiB" if not self.front.body_room_total else "the body is too long"
            )
        )
        self.body.clear()
        return False

    def on_message_complete(self) -> None:
        """Parser callback: hands the request on."""
        self.in_request = False
        if self.ended or self.parser is None:
            return
        keep = self.parser.should_keep_alive() and self.parser.get_http_version() == "1.1"
        exchange = Exchange(self, keep)
        exchange.reserved, self.reserved = self.reserved, 0
        self.exchanges.append(exchange)
        self.ended = not keep  # nothing is read after it
        try:
            if self.bad is not None:
                raise self.bad
            assert self.parser is not None
            self.front.handler.take(self, exchange, self.parser.get_method())
        except BadRequest as error:
            self.refuse(exchange, error)

    def refuse(self, exchange: Exchange, error: BadRequest) -> None:
        """Answers a bad request, and pauses reading: the client may repeat it at once."""
        self.errors += 1
        if self.errors >= MAX_BAD_REQUESTS:
            exchange.keep, self.ended = False, True
        elif self.error_pause is None:
            self.error_pause = self.front.loop.call_later(ERROR_PAUSE_S, self.resume_after_error)
        head = self.parser is not None and self.parser.get_method() == b"HEAD"
        exchange.answer(error.status, b"" if head else f"{error}\n".encode(), error.headers)

    def resume_after_error(self) -> None:
        """Timer callback: the pause after a bad request is over."""
        self.error_pause = None
        self.read_on()

    # transport callbacks

    def data_received(self, data: bytes) -> None:
        """Transport callback: buffers and parses requests."""
        if self.ended:
            return  # data is still read so that the last response can arrive, but it is ignored
        self.received = self.front.clock()
        self.unread = self.unread + data if self.unread else data
        self.read_on()

    def read_on(self) -> None:
        """Parses what has arrived, as far as the limit on requests in flight allows."""
        while self.unread and not (self.ended or self.is_full() or self.error_pause):
            piece = self.unread
            if len(piece) > PARSE_BYTES:
                piece = piece[:PARSE_BYTES]
            self.unread = self.unread[len(piece) :]
            self.parse(piece)
        self.pace()

    def parse(self, piece: bytes) -> None:
        """Feeds the parser, and enforces the limits on heads and bodies."""
        if self.parser is None:
            return
        self.parsing = True  # a response that is sent at once must not re-enter the parser
        try:
            self.parser.feed_data(piece)
        except httptools.HttpParserError:
            self.break_off(400, "not HTTP")
        except httptools.HttpParserUpgrade:
            self.ended = True  # the request itself is answered as usual
        self.parsing = False
        self.head_size += len(piece) if self.in_head else 0
        if self.bad is not None and self.bad.status in (413, 503) and self.in_request:
            self.break_off(self.bad.status, str(self.bad))
        elif self.head_size > MAX_HEAD_BYTES:
            self.break_off(431, "the head is over 32 KiB")

    def break_off(self, status: int, text: str) -> None:
        """Answers a request that can't be read to its end, and reads nothing after it."""
        if self.ended:
            return
        self.ended = True
        exchange = Exchange(self, False)
        self.exchanges.append(exchange)
        exchange.answer(status, f"{text}\n".encode())

    def is_full(self) -> bool:
        """True if no further request may be parsed now."""
        return self.stuck or len(self.exchanges) >= MAX_PIPELINED

    def pace(self) -> None:
        """Stops reading once enough is buffered: a client that only sends can't fill the memory."""
        full = not self.ended and (len(self.unread) > READ_AHEAD_BYTES or self.error_pause is not None)
        if self.transport is None or full == self.paused or self.closing:
            return
        self.paused = full
        if full:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def pause_writing(self) -> None:
        """Transport callback: the client reads too slowly."""
        self.stuck = True  # the client does not read its responses: no more requests are parsed
        self.stuck_since = self.front.clock()
        self.pace()

    def resume_writing(self) -> None:
        """Transport callback: the client has read enough."""
        self.stuck = False
        if self.exchanges and self.exchanges[0].source is not None:
            self.exchanges[0].source.resume()
        self.read_on()

    def flush(self) -> None:
        """Writes the responses that are ready, up to the first request that has none yet."""
        if self.transport is None:
            return
        while self.exchanges and self.exchanges[0].text is not None:
            exchange = self.exchanges[0]
            if exchange.text:
                self.transport.write(exchange.text)
            if exchange.source is not None:
                exchange.text = b""
                if not self.stuck:
                    exchange.source.resume()
                return self.pace()
            self.exchanges.popleft()
            if exchange.reserved:
                self.front.release_room(exchange.reserved)
            if not exchange.keep:
                return self.end()
        self.idle_since = self.front.clock()
        if self.ended and not self.exchanges:
            return self.end()
        if self.unread and not self.parsing:
            return self.read_on()
        return self.pace()

    def shrink_send_buffer(self) -> None:
        """Makes the kernel's buffer small: it holds little, and a slow reader's progress shows often."""
        if self.transport is not None:
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, STREAM_BUFFER_BYTES)

    def has_room_for(self, exchange: Exchange) -> bool:
        """True if a streamed response may send more."""
        return not self.stuck and bool(self.exchanges) and self.exchanges[0] is exchange

    def abort_response(self) -> None:
        """Aborts a response that can't be completed: the client sees its connection break."""
        if self.transport is not None:
            self.ended = self.closing = True
            self.transport.abort()

    def end(self) -> None:
        """Closes after the last response; data that the peer is still sending must not cut it off."""
        self.ended = True
        if self.closing or self.transport is None or self.transport.is_closing():
            return
        self.closing, self.ended_at = True, self.front.clock()
        if self.paused:
            self.transport.resume_reading()
            self.paused = False
        self.unread = b""
        self.transport.write_eof()

    def drop(self) -> None:
        """Closes at once: the client is owed no response, or its time for reading is over."""
        self.ended = self.closing = True
        if self.transport is not None:
            self.transport.abort() if self.stuck else self.transport.close()

    def eof_received(self) -> bool:
        """The client has left: a half-closed connection can't be told from a closed one."""
        self.leave(LeftBy.CLOSE)
        return False  # the transport flushes its buffer and closes

    def connection_lost(self, exc: Exception | None) -> None:
        """Transport callback: abandons the unanswered requests."""
        self.front.connections.discard(self)
        self.transport = self.parser = None  # breaks the cycle with the parser: both are freed at once
        if self.error_pause is not None:
            self.error_pause.cancel()
        self.leave(LeftBy.RESET)

    def leave(self, how: LeftBy) -> None:
        """The client has left: its unanswered requests are abandoned. Only the first call has an effect."""
        self.ended = self.left = True
        self.unread = b""
        if not self.closing:
            self.closing, self.ended_at = True, self.front.clock()
        exchanges, self.exchanges = self.exchanges, deque()
        self.front.release_room(self.reserved + sum(e.reserved for e in exchanges))
        self.reserved = 0
        unanswered = [e for e in exchanges if e.number and (e.text is None or e.source is not None)]
        if unanswered:
            self.front.driver.disconnects.connection_ended(how)
        for exchange in unanswered:
            self.front.driver.client_left(exchange.number)

    def has_closed(self) -> bool:
        """True if the client has closed a connection that is not being read."""
        poll = select.poll()
        poll.register(self.descriptor, select.POLLRDHUP)
        return any(found & CLOSED_EVENTS for _, found in poll.poll(0))

    def must_close_after(self, exchange: Exchange) -> bool:
        """True while the gateway stops, for the last request here, whose response must announce the close.

        Announced any earlier, it would leave requests that were sent after it without responses.
        """
        front = self.front
        if not front.stopping and front.draining_since is None and front.handed_over_since is None:
            return False
        if not front.is_shedding() or self.unread or self.exchanges[-1] is not exchange:
            return False
        self.ended = True
        return True

    def drained(self) -> bool:
        """True once the kernel has everything that was written here."""
        return self.transport is None or self.transport.get_write_buffer_size() == 0

    def is_idle(self) -> bool:
        """True if closing loses nothing: no request is in flight or partly read."""
        return not (self.exchanges or self.closing or self.unread or self.in_request)

    def is_quiet(self) -> bool:
        """True if no data from the client waits to be read."""
        poll = select.poll()
        poll.register(self.descriptor, select.POLLIN)
        return not poll.poll(0)

    def enforce_limits(self, now: float, idle_limit: float) -> None:
        """Enforces the time limits: whatever a client sends, it gets an error or a close soon."""
        if self.closing:
            if now - self.ended_at > LINGER_S:
                self.drop()
        elif self.paused and self.exchanges and self.has_closed():
            self.leave(LeftBy.CLOSE)
            self.drop()
        elif self.stuck:
            if now - self.stuck_since > UNREAD_LIMIT_S:
                self.drop()
        elif self.in_request and not (self.exchanges or self.unread):
            if now - self.begun > self.front.request_timeout + self.body_size / MIN_BODY_BYTES_PER_S:
                self.break_off(408, "the request did not come whole in time")
        elif self.is_idle():
            limit = idle_limit if self.used else min(idle_limit, self.front.request_timeout)
            if now - self.idle_since > limit and self.is_quiet():
                self.drop()

    def evict(self, now: float) -> bool:
        """Closes the connection to make room for another client, if that loses no accepted request."""
        if self.closing:
            self.drop()
            return True
        if self.exchanges or self.unread or now - max(self.idle_since, self.received) < EVICTABLE_IDLE_S:
            return False
        if self.in_request:
            self.break_off(408, "the request did not come whole, and others wait")
        if not self.in_request and not self.is_quiet():
            return False
        self.drop()
        return True


class CallHandler:
    """The protocol of the gateway in service: calls at one path, readiness at another."""

    def __init__(self, front: Front, settings: Settings) -> None:
        self.front, self.reader = front, CallReader(settings)

    def take(self, connection: ClientConnection, exchange: Exchange, method: bytes) -> None:
        """Handles a call or a readiness probe."""
        path = connection.target.partition(b"?")[0]
        if path == b"/api":
            if method not in (b"GET", b"POST"):
                raise BadRequest(405, "only GET and POST", b"Allow: GET, POST\r\n")
            driver = self.front.driver
            body, body_pieces, size = connection.body, None, 0
            if connection.body_size > MAX_BODY_BYTES:
                body, body_pieces, size = [], connection.body, connection.body_size
            call = self.reader.read(
                connection.received,
                method,
                connection.target,
                connection.headers,
                b"".join(body),
                body_pieces,
                size,
            )
            if driver.is_open(call.id):  # a response to one of the two would end the other
                raise BadRequest(409, "a request with this X-Call-Id is open")
            exchange.number = driver.take(call, exchange)
        elif path == b"/ready":
            if method != b"GET":
                raise BadRequest(405, "only GET", b"Allow: GET\r\n")
            exchange.answer(200 if self.front.is_ready() else 503, b"")
        else:
            raise BadRequest(404, "no such path")


class Front:
    """The listening socket and its connections.

    Connections are accepted here and not by asyncio's own server, which closes them when no descriptor is
    left: a request that was already written to one of them would be lost.
    """

    def __init__(
        self,
        driver: Driver,
        settings: Settings,
        clock: Callable[[], float],
        most: int,
        is_ready: Callable[[], bool],
        handler: RequestHandler | None = None,
    ) -> None:
        """`handler` handles the requests; the default is the protocol of the gateway in service."""
        self.driver, self.clock, self.most = driver, clock, most
        self.handler: RequestHandler = handler or CallHandler(self, settings)
        self.serves = is_ready
        self.connections: set[ClientConnection] = set()
        self.connecting: set[asyncio.Task[None]] = set()
        self.loop = asyncio.get_running_loop()
        self.listener: socket.socket | None = None
        self.retry_timer: asyncio.TimerHandle | None = None
        self.stopping = False
        self.address: tuple[str, int] | None = None
        self.shares = False  # another process of this gateway may listen on the same address
        self.request_timeout, self.idle_limit = REQUEST_TIMEOUT_S, IDLE_LIMIT_S
        self.body_room_total = self.body_room_free = 0  # bytes for bodies over 64 KiB: in all, and free
        self.draining_since: float | None = None  # an operator has drained the gateway
        self.handed_over_since: float | None = None  # another process accepts new clients
        self.sweeper = self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)

    def is_ready(self) -> bool:
        """True if new requests should come here."""
        return not self.stopping and self.draining_since is None and self.serves()

    def reserve_room(self, size: int) -> bool:
        """Reserves bytes for a long body; False if there are too few."""
        if size > self.body_room_free:
            return False
        self.body_room_free -= size
        return True

    def release_room(self, size: int) -> None:
        """Releases reserved bytes."""
        self.body_room_free += size

    def set_draining(self, on: bool) -> None:
        """Begins or ends a drain: the gateway reports that it is not ready, and closes client connections."""
        self.draining_since = (self.draining_since or self.clock()) if on else None

    def hand_over(self) -> None:
        """Leaves new clients to another process from now on, and closes the present connections gradually."""
        self.handed_over_since = self.clock()
        self.stop_listening()

    def listen_again(self) -> None:
        """Accepts clients again: the other process has ended."""
        self.handed_over_since = None
        if self.listener is None and self.address is not None and not self.stopping:
            self.listen(self.address)

    def is_shedding(self) -> bool:
        """True while connections are being closed: each one's next response is its last."""
        since = self.draining_since
        draining = since is not None and self.clock() - since > DRAIN_CLOSE_DELAY_S
        return self.stopping or draining or self.handed_over_since is not None

    def listen(self, address: tuple[str, int]) -> None:
        """Starts to accept connections."""
        listener = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.shares:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        listener.setblocking(False)
        listener.bind(address)
        listener.listen(BACKLOG)
        self.address = listener.getsockname()[:2]
        self.listener = listener
        self.loop.add_reader(listener, self.accept)

    def accept(self) -> None:
        """Accepts waiting connections, as long as there is room."""
        self.retry_timer = None
        for _ in range(MAX_ACCEPTS):
            if self.listener is None:
                return
            if not self.has_room():
                return self.pause_accepting()
            try:
                sock, _ = self.listener.accept()
            except BlockingIOError:
                return
            except OSError as error:
                if error.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                    return self.pause_accepting()
                continue  # the client has already closed the connection
            sock.setblocking(False)
            task = self.loop.create_task(self.connect_accepted(sock))
            self.connecting.add(task)
            task.add_done_callback(self.connecting.discard)

    async def connect_accepted(self, sock: socket.socket) -> None:
        """Sets up an accepted connection."""
        try:
            await self.loop.connect_accepted_socket(lambda: ClientConnection(self), sock)
        except OSError:
            sock.close()

    def has_room(self) -> bool:
        """True if one more fits; evicts those longest without a request, as they may never send one."""
        if len(self.connections) + len(self.connecting) < self.most:
            return True
        now, evicted = self.clock(), 0
        for connection in sorted(self.connections, key=attrgetter("used", "idle_since")):
            if connection.evict(now):
                self.connections.discard(
                    connection
                )  # its descriptor is freed before the event loop's next iteration
                evicted += 1
                if evicted == MAX_EVICTIONS:
                    break
        return evicted > 0

    def sweep(self) -> None:
        """Enforces the time limits of all connections, at intervals."""
        self.sweeper.cancel()
        now = self.clock()
        limit = self.idle_limit
        if len(self.connections) >= CROWDED_SHARE * self.most:
            limit = min(limit, CROWDED_IDLE_LIMIT_S)
        if self.is_shedding() and not self.stopping:
            limit = DRAIN_IDLE_LIMIT_S
        for connection in list(self.connections):
            connection.enforce_limits(now, limit)
        self.sweeper = self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)

    def pause_accepting(self) -> None:
        """Leaves new connections in the kernel's queue, where nothing is lost, until there is room again."""
        if self.listener is not None and self.retry_timer is None:
            self.loop.remove_reader(self.listener)
            self.retry_timer = self.loop.call_later(ACCEPT_RETRY_S, self.resume_accepting)

    def resume_accepting(self) -> None:
        """Timer callback: accepts connections again."""
        self.retry_timer = None
        if self.listener is not None:
            self.loop.add_reader(self.listener, self.accept)
            self.accept()

    def stop_listening(self) -> None:
        """Accepts the connections that already wait, then stops listening."""
        if self.listener is not None:
            self.loop.remove_reader(self.listener)
            self.accept()
            if self.listener is not None:
                self.loop.remove_reader(self.listener)
                self.listener.close()
                self.listener = None

    async def wait_drained(self, timeout_s: float) -> None:
        """Waits until the kernel has every response, for a limited time: a client may read nothing."""
        end = self.clock() + timeout_s
        while any(not c.drained() for c in self.connections) and self.clock() < end:
            await asyncio.sleep(0.01)

    def close_idle(self) -> None:
        """Closes idle connections."""
        for connection in list(self.connections):
            if connection.is_idle():
                connection.end()

    def close(self) -> None:
        """Closes all connections."""
        self.sweeper.cancel()
        for connection in list(self.connections):
            connection.drop()
