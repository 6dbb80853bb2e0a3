"""Asks the kernel how many bytes of a TCP stream it has taken, as evidence beside the program's books."""

from __future__ import annotations

import fcntl
import socket
import struct
import termios

BYTES_ACKED_OFFSET = 120  # of tcpi_bytes_acked in Linux' struct tcp_info, 64 bits; the SYN counts as one
TCP_INFO_BYTES = BYTES_ACKED_OFFSET + 8
UNKNOWN_BYTES = -1  # where the kernel does not tell


def bytes_taken(descriptor: int) -> int:
    """The bytes that the kernel has taken of a stream that this side dialled, in all; -1 if it doesn't tell.

    Those are the bytes that the other side has acknowledged, and those that it has not. The answer stays
    right after a reset, until the descriptor is closed.
    """
    if descriptor < 0:
        return UNKNOWN_BYTES
    try:
        unacknowledged = struct.unpack("i", fcntl.ioctl(descriptor, termios.TIOCOUTQ, bytes(4)))[0]
        info = tcp_info(descriptor)
    except OSError:
        return UNKNOWN_BYTES
    if len(info) < TCP_INFO_BYTES:
        return UNKNOWN_BYTES
    acknowledged = struct.unpack_from("Q", info, BYTES_ACKED_OFFSET)[0]
    return max(int(acknowledged) + int(unacknowledged) - 1, 0)


def tcp_info(descriptor: int) -> bytes:
    """The beginning of the kernel's `struct tcp_info` of a connection; raises OSError if it has none."""
    duplicate = socket.socket(socket.AF_INET, socket.SOCK_STREAM, 0, descriptor)
    try:
        return duplicate.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    finally:
        duplicate.detach()  # the descriptor belongs to the event loop's transport
