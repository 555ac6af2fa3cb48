"""Proves to both ends of a connection that they share the peer secret."""

import hashlib
import hmac
import secrets

from ..process import PeerAuthenticationError
from .channel import Channel
from .messages import Hello
from .wire import decode_hello, encode_hello

NONCE_BYTES = 16
_SEPARATOR = b'\0'


class Identity:
    """Who this daemon is towards its peers."""

    def __init__(
        self,
        host: str,
        zone: str,
        incarnation: str,
        secret: bytes,
    ) -> None:
        self.host = host
        self.zone = zone
        self.incarnation = incarnation
        self._secret = secret

    def hello(self, nonce: bytes, proof: bytes = b'') -> Hello:
        """Return the hello of this daemon."""
        return Hello(self.host, self.zone, self.incarnation, nonce, proof)

    def derive(self, purpose: str, dialer: Hello, acceptor: Hello) -> bytes:
        """Return a key or proof that only holders of the secret know."""
        parts = (
            purpose.encode(),
            dialer.host.encode(),
            dialer.nonce,
            acceptor.host.encode(),
            acceptor.nonce,
        )
        message = _SEPARATOR.join(parts)
        return hmac.digest(self._secret, message, hashlib.sha256)


async def dial(channel: Channel, identity: Identity) -> Hello:
    """Shake hands as the end that connected; return the other's hello.

    Raises:
        PeerError: If the other end does not prove the secret or goes away.
    """
    mine = identity.hello(secrets.token_bytes(NONCE_BYTES))
    await channel.send(encode_hello(mine))
    theirs = decode_hello(await channel.receive())
    _verify(theirs, identity.derive('acceptor', mine, theirs))
    proof = identity.derive('dialer', mine, theirs)
    await channel.send(encode_hello(identity.hello(mine.nonce, proof)))
    channel.secure(
        send_key=identity.derive('dialer-frames', mine, theirs),
        receive_key=identity.derive('acceptor-frames', mine, theirs),
    )
    return theirs


async def accept(channel: Channel, identity: Identity) -> Hello:
    """Shake hands as the end that listened; return the other's hello.

    Raises:
        PeerError: If the other end does not prove the secret or goes away.
    """
    theirs = decode_hello(await channel.receive())
    nonce = secrets.token_bytes(NONCE_BYTES)
    mine = identity.hello(nonce)
    proof = identity.derive('acceptor', theirs, mine)
    await channel.send(encode_hello(identity.hello(nonce, proof)))
    answer = decode_hello(await channel.receive())
    _verify(answer, identity.derive('dialer', theirs, mine))
    channel.secure(
        send_key=identity.derive('acceptor-frames', theirs, mine),
        receive_key=identity.derive('dialer-frames', theirs, mine),
    )
    return theirs


def _verify(hello: Hello, expected_proof: bytes) -> None:
    if not hmac.compare_digest(hello.proof, expected_proof):
        raise PeerAuthenticationError(f'{hello.host} failed to prove itself')
