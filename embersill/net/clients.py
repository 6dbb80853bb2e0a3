"""The HTTP server side: accepts clients, reads their requests, and writes each its answer in order."""

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

MOST_BODY = 64 * 1024  # bytes of a request's body, by the protocol
MOST_HEAD = 32 * 1024  # bytes of request line and headers: a generous browser sends a quarter of it
MOST_PIPELINED = 16  # requests under way on one connection: further ones are not parsed
READ_AHEAD = 8192  # bytes that are read beyond these: a connection that is not read does not tell of its end
PIECE = 8192  # bytes given to the parser at a time: so many small requests at most go past that bound
SETTLED = 0.1  # seconds unused from which a connection may make way: a new one brings its request at once
READ_WITHIN = 2.0  # seconds for a request to come whole, and for a new connection to send anything at all
IDLE_LIMIT = 10.0  # seconds unused after which a connection is closed
IDLE_LIMIT_FULL, FULL_FROM = 2.1, 0.5  # the same from this part of the connections there may be
UNREAD_LIMIT = 5.0  # seconds for a client to read its answers
SWEEP_EVERY = 0.25  # seconds between looks for those whose time is up
MOST_ERRORS = 4  # requests out of form on one connection, after which it is closed
ERROR_PAUSE = 0.1  # seconds after one in which no more is read: each costs as much work as a request
CLOSED = select.POLLRDHUP | select.POLLHUP | select.POLLERR  # what poll tells of a connection that has ended
LINGER = 1.0  # seconds for a peer to read an error answer before its connection goes
MAKE_WAY = 16  # connections at most that make way at one look: the look costs more than they do
BACKLOG = 1024
ACCEPT_AGAIN = 0.02  # seconds until the next try where no descriptor was left for a connection
SLOW_WITHIN = 3.0  # the same where clients take up to 2 s for a head
LEAST_PACE = 32 * 1024  # bytes a second of a body that come in any case: time is given for what has come
STREAM_BUFFER = 64 * 1024  # bytes of the kernel's buffer for a client to which a long answer is passed on
CLOSING_FROM = 0.3  # seconds after a drain begins from which clients are told to go: new ones stop by then
LEAVE_IDLE = 0.4  # seconds unused from which a connection is closed while the gateway is emptied
ACCEPTS = 64  # connections taken in at one go, so that those at hand get their turn

SINGLE = frozenset(
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
    """One request on a connection and its answer, which goes out when those before it have gone."""

    __slots__ = ("chunked", "connection", "keep", "number", "reserved", "source", "text")

    def __init__(self, connection: ClientConnection, keep: bool) -> None:
        self.connection, self.keep = connection, keep
        self.number = 0  # the driver's name for it, if it was taken
        self.text: bytes | None = None
        self.source: BackendConnection | None = None  # from which the rest of the answer is still to come
        self.chunked, self.reserved = False, 0

    def begin(self, headers: bytes, length: int | None, source: BackendConnection) -> Exchange:
        self.keep = self.keep and not self.connection.ends_with(self)
        self.source, self.chunked = source, length is None
        framing = b"Transfer-Encoding: chunked" if length is None else b"Content-Length: %d" % length
        close = b"" if self.keep else b"Connection: close\r\n"
        self.text = b"HTTP/1.1 200 OK\r\n%b%b%b\r\n\r\n" % (headers, close, framing)
        self.connection.hold_little()
        self.connection.flush()
        return self

    def send_piece(self, data: bytes) -> bool:
        self.text = (self.text or b"") + (b"%x\r\n%b\r\n" % (len(data), data) if self.chunked else data)
        self.connection.flush()
        return self.connection.has_room_for(self)

    def done(self, whole: bool) -> None:
        self.source = None
        if not whole:
            return self.connection.cut_short()
        self.text = (self.text or b"") + (b"0\r\n\r\n" if self.chunked else b"")
        return self.connection.flush()

    def answer(self, status: int, body: bytes, headers: bytes = b"") -> None:
        if self.text is not None:
            return
        self.keep = self.keep and not self.connection.ends_with(self)
        self.text = b"HTTP/1.1 %d %b\r\n%b%bContent-Length: %d\r\n\r\n%b" % (
            status,
            REASONS.get(status, b"Status"),
            headers,
            b"" if self.keep else b"Connection: close\r\n",
            len(body),
            body,
        )
        self.connection.flush()


class Desk(Protocol):
    """Where whole requests go: it takes each one, answers it, or says what is wrong with it."""

    def take(self, connection: ClientConnection, exchange: Exchange, method: bytes) -> None:
        """BadRequest words what is wrong. Target, headers and body stand at the connection."""
        ...


class ClientConnection(asyncio.Protocol):
    """One client connection: requests in, answers out in the same order."""

    def __init__(self, front: Front) -> None:
        self.front = front
        self.transport: asyncio.Transport | None = None
        self.exchanges: deque[Exchange] = deque()
        self.descriptor = -1
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.idle_since = self.begun = front.clock()  # without a request; the one half read came
        self.received = self.ended_at = self.stuck_since = 0.0
        self.errors = 0
        self.rest: asyncio.TimerHandle | None = None  # until when nothing more is read, after an error
        self.unread = b""
        self.used = False  # a request was begun on it: empty lines are none
        self.paused = self.ended = self.closing = self.stuck = self.parsing = False
        self.left = False  # the client has closed the connection, or it broke
        self.in_request, self.in_head, self.head_size = False, False, 0
        self.reserved = 0  # bytes of the room for long bodies
        self.start_request()

    def start_request(self) -> None:
        self.target, self.body_size = b"", 0
        self.headers: dict[bytes, bytes] = {}
        self.body: list[bytes] = []
        self.bad: BadRequest | None = None
        if self.reserved:  # by one that was not read to its end
            self.front.give_back(self.reserved)
            self.reserved = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is one in all but its bases
        self.descriptor = self.transport.get_extra_info("socket").fileno()
        self.front.connections.add(self)

    # what the parser tells

    def on_message_begin(self) -> None:
        self.start_request()
        self.used = True
        self.begun = self.received
        self.in_request = self.in_head = True
        self.head_size = 0  # pieces end in the midst of many heads: each has the whole bound

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        name, headers = name.lower(), self.headers
        if name in headers and name in SINGLE:
            self.bad = BadRequest(400, f"{name.decode()} stands twice")
        elif name in headers:  # a list in several lines is one in one line
            value = headers[name] + (b"; " if name == b"cookie" else b", ") + value
        headers[name] = value.strip()

    def on_headers_complete(self) -> None:
        self.in_head = False
        length = self.headers.get(b"content-length", b"")
        if length.isdigit() and int(length) > MOST_BODY and not self.reserve(int(length)):
            pass
        elif b"expect" in self.headers and not self.exchanges and self.transport is not None:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        self.body_size += len(body)
        if self.body_size <= MOST_BODY or self.body_size <= self.reserved:
            self.body.append(body)
        elif self.bad is None and self.reserve(self.body_size - self.reserved + MOST_BODY):
            self.body.append(body)

    def reserve(self, size: int) -> bool:
        """Room for a long body, or for more of it. Where there is none the request is turned away, unsent."""
        if self.front.take_room(size):
            self.reserved += size
            return True
        fits = self.reserved + size <= self.front.room_in_all
        self.bad = (
            BadRequest(503, "too many long bodies at a time")
            if fits
            else BadRequest(
                413, "the body is over 64 KiB" if not self.front.room_in_all else "the body is too long"
            )
        )
        self.body.clear()
        return False

    def on_message_complete(self) -> None:
        self.in_request = False
        if self.ended or self.parser is None:
            return
        keep = self.parser.should_keep_alive() and self.parser.get_http_version() == "1.1"
        exchange = Exchange(self, keep)
        exchange.reserved, self.reserved = self.reserved, 0
        self.exchanges.append(exchange)
        self.ended = not keep  # nothing after it is read
        try:
            if self.bad is not None:
                raise self.bad
            assert self.parser is not None
            self.front.desk.take(self, exchange, self.parser.get_method())
        except BadRequest as error:
            self.refuse(exchange, error)

    def refuse(self, exchange: Exchange, error: BadRequest) -> None:
        """An error for what is out of form, and a pause: the same may come again at once."""
        self.errors += 1
        if self.errors >= MOST_ERRORS:
            exchange.keep, self.ended = False, True
        elif self.rest is None:
            self.rest = self.front.loop.call_later(ERROR_PAUSE, self.rested)
        head = self.parser is not None and self.parser.get_method() == b"HEAD"
        exchange.answer(error.status, b"" if head else f"{error}\n".encode(), error.headers)

    def rested(self) -> None:
        self.rest = None
        self.read_on()

    # what the transport tells

    def data_received(self, data: bytes) -> None:
        if self.ended:
            return  # the last answer is on its way; what still comes is read only so that it gets there
        self.received = self.front.clock()
        self.unread = self.unread + data if self.unread else data
        self.read_on()

    def read_on(self) -> None:
        """Parses what has come, as far as the bound on requests under way allows."""
        while self.unread and not (self.ended or self.is_full() or self.rest):
            piece = self.unread
            if len(piece) > PIECE:
                piece = piece[:PIECE]
            self.unread = self.unread[len(piece) :]
            self.parse(piece)
        self.pace()

    def parse(self, piece: bytes) -> None:
        if self.parser is None:
            return
        self.parsing = True  # an answer given at once must not start the parser again from inside itself
        try:
            self.parser.feed_data(piece)
        except httptools.HttpParserError:
            self.break_off(400, "not HTTP")
        except httptools.HttpParserUpgrade:
            self.ended = True  # the answer to the request itself has been or will be given
        self.parsing = False
        self.head_size += len(piece) if self.in_head else 0
        if self.bad is not None and self.bad.status in (413, 503) and self.in_request:
            self.break_off(self.bad.status, str(self.bad))
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
        """Stops reading once enough has come: a client that only sends can't fill the memory."""
        full = not self.ended and (len(self.unread) > READ_AHEAD or self.rest is not None)
        if self.transport is None or full == self.paused or self.closing:
            return
        self.paused = full
        if full:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def pause_writing(self) -> None:
        self.stuck = True  # the client does not read its answers: it gets no further ones
        self.stuck_since = self.front.clock()
        self.pace()

    def resume_writing(self) -> None:
        self.stuck = False
        if self.exchanges and self.exchanges[0].source is not None:
            self.exchanges[0].source.resume()
        self.read_on()

    def flush(self) -> None:
        """Writes the answers that are due, up to the first request that has none yet."""
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
                self.front.give_back(exchange.reserved)
            if not exchange.keep:
                return self.end()
        self.idle_since = self.front.clock()
        if self.ended and not self.exchanges:
            return self.end()
        if self.unread and not self.parsing:
            return self.read_on()
        return self.pace()

    def hold_little(self) -> None:
        """Keeps the kernel's buffer small: it tells of a slow reader's progress often, and holds little."""
        if self.transport is not None:
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, STREAM_BUFFER)

    def has_room_for(self, exchange: Exchange) -> bool:
        return not self.stuck and bool(self.exchanges) and self.exchanges[0] is exchange

    def cut_short(self) -> None:
        """An answer that can't be finished: the client sees its connection end in the midst of it."""
        if self.transport is not None:
            self.ended = self.closing = True
            self.transport.abort()

    def end(self) -> None:
        """Closes after the last answer; the peer may have more on its way, which must not cut it off."""
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
        """Closes at once, for one to which nothing is owed or that had its time to read it."""
        self.ended = self.closing = True
        if self.transport is not None:
            self.transport.abort() if self.stuck else self.transport.close()

    def eof_received(self) -> bool:
        """The client has left: an end of its stream can't be told from a closed connection."""
        self.leave(LeftBy.CLOSE)
        return False  # the transport writes what it still holds, and closes

    def connection_lost(self, exc: Exception | None) -> None:
        self.front.connections.discard(self)
        self.transport = self.parser = None  # the parser knows its connection: parted, both are freed at once
        if self.rest is not None:
            self.rest.cancel()
        self.leave(LeftBy.RESET)

    def leave(self, how: LeftBy) -> None:
        """The client is gone: its unanswered requests have nobody to go to. The first call counts."""
        self.ended = self.left = True
        self.unread = b""
        if not self.closing:
            self.closing, self.ended_at = True, self.front.clock()
        exchanges, self.exchanges = self.exchanges, deque()
        self.front.give_back(self.reserved + sum(e.reserved for e in exchanges))
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
        return any(found & CLOSED for _, found in poll.poll(0))

    def ends_with(self, exchange: Exchange) -> bool:
        """While the gateway stops: True for the last that was taken here, which is to say so in its answer.

        Said any earlier, it would leave those that were sent behind it without theirs.
        """
        front = self.front
        if not front.stopping and front.emptied_since is None and front.handed_since is None:
            return False
        if not front.leaves() or self.unread or self.exchanges[-1] is not exchange:
            return False
        self.ended = True
        return True

    def drained(self) -> bool:
        """True once the kernel has all that was written here."""
        return self.transport is None or self.transport.get_write_buffer_size() == 0

    def is_idle(self) -> bool:
        """True if closing it loses nothing: no request was taken here, nor is one half read."""
        return not (self.exchanges or self.closing or self.unread or self.in_request)

    def is_quiet(self) -> bool:
        """True if nothing that the client sent waits to be read."""
        poll = select.poll()
        poll.register(self.descriptor, select.POLLIN)
        return not poll.poll(0)

    def look_after(self, now: float, idle_limit: float) -> None:
        """Ends what has had its time: a client is owed an error or a close soon, whatever it sent."""
        if self.closing:
            if now - self.ended_at > LINGER:
                self.drop()
        elif self.paused and self.exchanges and self.has_closed():
            self.leave(LeftBy.CLOSE)
            self.drop()
        elif self.stuck:
            if now - self.stuck_since > UNREAD_LIMIT:
                self.drop()
        elif self.in_request and not (self.exchanges or self.unread):
            if now - self.begun > self.front.read_within + self.body_size / LEAST_PACE:
                self.break_off(408, "the request did not come whole in time")
        elif self.is_idle():
            limit = idle_limit if self.used else min(idle_limit, self.front.read_within)
            if now - self.idle_since > limit and self.is_quiet():
                self.drop()

    def make_way(self, now: float) -> bool:
        """Gives up its place to another client, if that loses nothing that was taken."""
        if self.closing:
            self.drop()
            return True
        if self.exchanges or self.unread or now - max(self.idle_since, self.received) < SETTLED:
            return False
        if self.in_request:
            self.break_off(408, "the request did not come whole, and others wait")
        if not self.in_request and not self.is_quiet():
            return False
        self.drop()
        return True


class CallDesk:
    """The protocol of the gateway in service: calls at one path, readiness at another."""

    def __init__(self, front: Front, settings: Settings) -> None:
        self.front, self.reader = front, CallReader(settings)

    def take(self, connection: ClientConnection, exchange: Exchange, method: bytes) -> None:
        path = connection.target.partition(b"?")[0]
        if path == b"/api":
            if method not in (b"GET", b"POST"):
                raise BadRequest(405, "only GET and POST", b"Allow: GET, POST\r\n")
            driver = self.front.driver
            body, rest, size = connection.body, None, 0
            if connection.body_size > MOST_BODY:
                body, rest, size = [], connection.body, connection.body_size
            call = self.reader.read(
                connection.received, method, connection.target, connection.headers, b"".join(body), rest, size
            )
            if driver.is_open(call.id):  # an answer to the one would end the other
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

    Connections are accepted here and not by the loop's own server: where no descriptor is left that one
    would close them, and a request that was written to one of them would be lost.
    """

    def __init__(
        self,
        driver: Driver,
        settings: Settings,
        clock: Callable[[], float],
        most: int,
        is_ready: Callable[[], bool],
        desk: Desk | None = None,
    ) -> None:
        """`desk`: takes the requests, where they are not calls of the protocol in service."""
        self.driver, self.clock, self.most = driver, clock, most
        self.desk: Desk = desk or CallDesk(self, settings)
        self.serves = is_ready
        self.connections: set[ClientConnection] = set()
        self.taking_in: set[asyncio.Task[None]] = set()
        self.loop = asyncio.get_running_loop()
        self.listener: socket.socket | None = None
        self.again: asyncio.TimerHandle | None = None
        self.stopping = False
        self.address: tuple[str, int] | None = None
        self.shares = False  # another process of this gateway may listen at the same address
        self.read_within, self.idle_limit = READ_WITHIN, IDLE_LIMIT
        self.room_in_all = self.room = 0  # bytes of bodies over 64 KiB that are held at a time
        self.emptied_since: float | None = None  # staff have it drained
        self.handed_since: float | None = None  # another process takes the new clients in
        self.sweeper = self.loop.call_later(SWEEP_EVERY, self.sweep)

    def is_ready(self) -> bool:
        return not self.stopping and self.emptied_since is None and self.serves()

    def take_room(self, size: int) -> bool:
        if size > self.room:
            return False
        self.room -= size
        return True

    def give_back(self, size: int) -> None:
        self.room += size

    def empty(self, on: bool) -> None:
        """Drains this gateway: no yes to who asks if it is ready, and clients are let go, or ends that."""
        self.emptied_since = (self.emptied_since or self.clock()) if on else None

    def hand_over(self) -> None:
        """Another process takes the new clients in from now on; those here are let go as they can be."""
        self.handed_since = self.clock()
        self.stop_listening()

    def take_back(self) -> None:
        """That process is gone: this one goes on as before."""
        self.handed_since = None
        if self.listener is None and self.address is not None and not self.stopping:
            self.listen(self.address)

    def leaves(self) -> bool:
        """True while clients are to go: their next answer here is the last on its connection."""
        since = self.emptied_since
        emptied = since is not None and self.clock() - since > CLOSING_FROM
        return self.stopping or emptied or self.handed_since is not None

    def listen(self, address: tuple[str, int]) -> None:
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
        """True if one more fits; those longest without a request make way: a crowd may never send one."""
        if len(self.connections) + len(self.taking_in) < self.most:
            return True
        now, gone = self.clock(), 0
        for connection in sorted(self.connections, key=attrgetter("used", "idle_since")):
            if connection.make_way(now):
                self.connections.discard(connection)  # its descriptor is free before the loop's next round
                gone += 1
                if gone == MAKE_WAY:
                    break
        return gone > 0

    def sweep(self) -> None:
        self.sweeper.cancel()
        now = self.clock()
        limit = self.idle_limit
        if len(self.connections) >= FULL_FROM * self.most:
            limit = min(limit, IDLE_LIMIT_FULL)
        if self.leaves() and not self.stopping:
            limit = LEAVE_IDLE
        for connection in list(self.connections):
            connection.look_after(now, limit)
        self.sweeper = self.loop.call_later(SWEEP_EVERY, self.sweep)

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

    def close(self) -> None:
        self.sweeper.cancel()
        for connection in list(self.connections):
            connection.drop()
