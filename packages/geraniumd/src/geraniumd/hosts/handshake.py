"""Mutual authentication of a peer connection by the shared secret."""

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
    """Identity and secret that this daemon authenticates itself with."""

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
        """Return a hello message of this daemon."""
        return Hello(self.host, self.zone, self.incarnation, nonce, proof)

    def derive(self, purpose: str, dialer: Hello, acceptor: Hello) -> bytes:
        """Derive a key or proof for a purpose from the shared secret."""
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
    """Run the handshake as the dialer and return the acceptor's hello.

    Raises:
        PeerError: If the other end fails authentication or disconnects.
    """
    local = identity.hello(secrets.token_bytes(NONCE_BYTES))
    await channel.send(encode_hello(local))
    remote = decode_hello(await channel.receive())
    _verify(remote, identity.derive('acceptor', local, remote))
    proof = identity.derive('dialer', local, remote)
    await channel.send(encode_hello(identity.hello(local.nonce, proof)))
    channel.secure(
        send_key=identity.derive('dialer-frames', local, remote),
        receive_key=identity.derive('acceptor-frames', local, remote),
    )
    return remote


async def accept(channel: Channel, identity: Identity) -> Hello:
    """Run the handshake as the acceptor and return the dialer's hello.

    Raises:
        PeerError: If the other end fails authentication or disconnects.
    """
    remote = decode_hello(await channel.receive())
    nonce = secrets.token_bytes(NONCE_BYTES)
    local = identity.hello(nonce)
    proof = identity.derive('acceptor', remote, local)
    await channel.send(encode_hello(identity.hello(nonce, proof)))
    proof_hello = decode_hello(await channel.receive())
    _verify(proof_hello, identity.derive('dialer', remote, local))
    channel.secure(
        send_key=identity.derive('acceptor-frames', remote, local),
        receive_key=identity.derive('dialer-frames', remote, local),
    )
    return remote


def _verify(hello: Hello, expected_proof: bytes) -> None:
    if not hmac.compare_digest(hello.proof, expected_proof):
        raise PeerAuthenticationError(
            f'{hello.host} sent a wrong proof of the peer secret'
        )
