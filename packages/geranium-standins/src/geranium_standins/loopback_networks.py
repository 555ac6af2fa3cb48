"""Parts of the loopback for runs that execute beside each other."""

import socket

_FIRST, _END = 16, 256  # 127.0 and some more are left to others
_CLAIM = '\0geranium-loopback-{number}'  # no file: it ends with its process


class LoopbackNetwork:
    """A /16 network of the loopback that one run has to itself.

    It is claimed when the context is entered, and free again at its end. The
    addresses of two networks that are claimed at a time are distinct.
    """

    def __init__(self) -> None:
        self._number: int | None = None
        self._claim: socket.socket | None = None

    def __enter__(self) -> 'LoopbackNetwork':
        """Claim the first network that is free.

        Raises:
            OSError: None is free.
        """
        if not any(map(self._try_to_claim, range(_FIRST, _END))):
            raise OSError('no loopback network is free')
        return self

    def __exit__(self, *exception: object) -> None:
        """Give the network back."""
        if self._claim is not None:
            self._claim.close()
        self._number = None

    def address(self, part: int, number: int) -> str:
        """Return an address of the claimed network.

        Args:
            part: The third number of the address.
            number: The fourth one.
        """
        if self._number is None:
            raise RuntimeError('the network is not claimed')
        return f'127.{self._number}.{part}.{number}'

    def _try_to_claim(self, number: int) -> bool:
        claim = socket.socket(socket.AF_UNIX)
        try:
            claim.bind(_CLAIM.format(number=number))
        except OSError:
            claim.close()
            return False
        self._number = number
        self._claim = claim
        return True
