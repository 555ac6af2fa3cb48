"""Authenticated framing over a TCP connection between two daemons.

A frame is a 4-byte big-endian length, a 16-byte message authentication
code (MAC) and the payload. The MAC covers a frame counter and the payload,
and each direction has its own key. The receiver thereby rejects a frame that
was altered, replayed or reflected to its sender.
"""

import asyncio
import hashlib
import hmac
import struct
from types import MappingProxyType

from ..process import FrameError, PeerError, Telemetry

MAC_BYTES = 16
_LENGTH = struct.Struct('>I')
_COUNTER = struct.Struct('>Q')
_TRANSMIT = MappingProxyType({'network.io.direction': 'transmit'})
_RECEIVE = MappingProxyType({'network.io.direction': 'receive'})


class Channel:
    """Sends and receives frames on one connection.

    Without keys, that is during the handshake, the MAC is all zeros.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        max_frame_bytes: int,
        telemetry: Telemetry,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._max_frame_bytes = max_frame_bytes
        self._telemetry = telemetry
        self._send_key = b''
        self._receive_key = b''
        self._frames_sent = 0
        self._frames_received = 0

    def secure(self, send_key: bytes, receive_key: bytes) -> None:
        """Authenticate all further frames with these keys."""
        self._send_key = send_key
        self._receive_key = receive_key

    async def send(self, payload: bytes) -> None:
        """Send a frame.

        Raises:
            PeerError: If the connection is closed.
        """
        mac = _mac(self._send_key, self._frames_sent, payload)
        self._frames_sent += 1
        frame = _LENGTH.pack(len(payload)) + mac + payload
        self._telemetry.peer_bytes.add(len(frame), _TRANSMIT)
        try:
            self._writer.write(frame)
            await self._writer.drain()
        except OSError as error:
            raise PeerError(repr(error)) from error

    async def receive(self) -> bytes:
        """Return the payload of the next frame.

        Raises:
            PeerError: If the connection is closed.
            FrameError: If the frame exceeds the size limit or its MAC is
                wrong.
        """
        header = await self._read(_LENGTH.size + MAC_BYTES)
        length = _LENGTH.unpack_from(header)[0]
        if length > self._max_frame_bytes:
            raise FrameError(f'frame of {length} bytes exceeds the limit')
        payload = await self._read(length)
        mac = _mac(self._receive_key, self._frames_received, payload)
        self._frames_received += 1
        if not hmac.compare_digest(mac, header[_LENGTH.size :]):
            raise FrameError('frame has a wrong authentication code')
        self._telemetry.peer_bytes.add(len(header) + length, _RECEIVE)
        return payload

    def close(self) -> None:
        """Close the connection without waiting."""
        self._writer.close()

    async def _read(self, count: int) -> bytes:
        try:
            return await self._reader.readexactly(count)
        except (OSError, asyncio.IncompleteReadError) as error:
            raise PeerError(repr(error)) from error


def _mac(key: bytes, counter: int, payload: bytes) -> bytes:
    if not key:
        return bytes(MAC_BYTES)
    message = _COUNTER.pack(counter) + payload
    return hmac.digest(key, message, hashlib.sha256)[:MAC_BYTES]
