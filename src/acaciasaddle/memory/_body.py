"""A body that is held in pieces, so that no step copies it as a whole."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING
from typing import cast

if TYPE_CHECKING:
    from collections.abc import Iterator

PIECE_BYTES = 65_536
"""Pieces of one size leave no gaps in the allocator's memory that later bodies cannot use."""


class LargeBody:
    """A body in pieces of up to ``PIECE_BYTES``, in their order. Its length is that in bytes."""

    __slots__ = ("_pieces", "_size")

    def __init__(self) -> None:
        self._pieces: deque[bytearray] = deque()
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def __bytes__(self) -> bytes:
        return b"".join(self._pieces)

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, bytes | LargeBody):
            return NotImplemented
        return bytes(self) == bytes(other)

    __hash__ = None  # type: ignore[assignment]

    def __iter__(self) -> Iterator[bytes]:
        # h11 and sockets take all bytes-like objects.
        return cast("Iterator[bytes]", iter(self._pieces))

    def append(self, data: bytes | bytearray) -> None:
        """Append a copy of some data."""
        self._size += len(data)
        if self._pieces and len(self._pieces[-1]) + len(data) <= PIECE_BYTES:
            self._pieces[-1] += data
        else:
            self._pieces.append(bytearray(data))

    def pop(self) -> bytes | None:
        """Remove and return the first piece, or return ``None`` if there is none."""
        if not self._pieces:
            return None
        piece = self._pieces.popleft()
        self._size -= len(piece)
        return cast("bytes", piece)

    def clear(self) -> None:
        """Remove all pieces."""
        self._pieces.clear()
        self._size = 0


Body = bytes | LargeBody
"""A small body is plain bytes."""
