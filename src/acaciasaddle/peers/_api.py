"""Interface for the connections between entry hosts."""

from __future__ import annotations

from abc import abstractmethod
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import ClassVar

from acaciasaddle.kernel import Service

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from acaciasaddle.model import BodySource
    from acaciasaddle.model import ResponseSink
    from acaciasaddle.model import Row
    from acaciasaddle.model import WorkRequest
    from acaciasaddle.wire import Call
    from acaciasaddle.wire import Hello
    from acaciasaddle.wire import Reply

WorkHandler = Callable[["WorkRequest", "BodySource", "ResponseSink"], Awaitable[None]]
CallHandler = Callable[[str, "Call"], Awaitable["Reply"]]
RowsHandler = Callable[[str, tuple["Row", ...], int], None]


@dataclass(frozen=True, slots=True, kw_only=True)
class Digest:
    """State that a peer last reported about itself.

    ``revision`` is the table revision up to which the peer's mirror is complete. ``heard_at`` is
    the time when the digest arrived, in seconds of this host's clock.
    """

    member: str
    data_centre: str
    config_version: int
    revision: int
    heard_at: float


class PeerHub(Service):
    """Connections to all other entry hosts.

    Peers are identified by member id, ``<host id>@<incarnation>``. Each side dials a connection of
    its own for the calls and requests that it starts; replies and responses return on it.
    """

    name: ClassVar[str] = "peers"

    @abstractmethod
    def set_members(self, members: Mapping[str, str]) -> None:
        """Set the peer addresses (``ip:port``) of the known members; this host's own is ignored."""

    @abstractmethod
    def set_partners(self, partners: frozenset[str]) -> None:
        """Set the members whose confirmations this host needs.

        Each of them is sent a heartbeat every 80 ms.
        """

    @abstractmethod
    def set_digest(self, *, config_version: int, revision: int) -> None:
        """Set the state that this host reports in heartbeats and their answers."""

    @abstractmethod
    def confirmed_at(self, member: str) -> float:
        """Return the latest reading of this host's clock that ``member`` has confirmed.

        Minus infinity if there is none.
        """

    @abstractmethod
    def confirmation_sent_at(self, member: str) -> float:
        """Return when this host last confirmed a heartbeat of ``member``.

        Minus infinity if there is none.
        """

    @abstractmethod
    def heard_at(self, member: str) -> float:
        """Return when the last message from ``member`` arrived; minus infinity if none has."""

    @abstractmethod
    def withhold_confirmation(self, member: str) -> None:
        """Answer heartbeats of ``member`` without confirming them from now on."""

    @abstractmethod
    def restore_confirmation(self, member: str) -> None:
        """Confirm heartbeats of ``member`` again."""

    @abstractmethod
    def digests(self) -> tuple[Digest, ...]:
        """Return the last digest of each peer that has sent one."""

    @abstractmethod
    async def call(self, member: str, call: Call, *, timeout: float) -> Reply:
        """Send a call and return its reply. A call to this host itself is handled directly.

        An error of the peer's handler is returned as ``Failed``. Raises ``PeerUnreachableError``,
        or ``PeerProtocolError`` if the call is too large or can't be encoded.
        """

    @abstractmethod
    def on_call(self, kind: type[Call], handler: CallHandler) -> None:
        """Register the handler of one kind of call."""

    @abstractmethod
    async def work(
        self, member: str, req: WorkRequest, body: BodySource, response: ResponseSink
    ) -> None:
        """Forward a request to ``member`` and stream its response into ``response``.

        Raises the error of the peer's handler (``RefusedError``, ``NotOwnerError``),
        ``PeerUnreachableError`` whose ``sent`` says whether the request may have arrived, or
        ``PeerProtocolError`` if the request without its body is too large or can't be encoded.
        Errors of ``body`` and ``response`` are raised unchanged. Cancelling this method cancels the
        peer's handler.
        """

    @abstractmethod
    def on_work(self, handler: WorkHandler) -> None:
        """Register the handler of forwarded requests."""

    @abstractmethod
    async def identify(self, address: str) -> Hello:
        """Return the ``Hello`` of the host at an address, for seeds whose member id is unknown.

        Raises ``PeerUnreachableError``, ``PeerProtocolError``, or ``PeerError`` if the address is
        invalid.
        """

    @abstractmethod
    def push_rows(
        self, rows: Iterable[Row], *, revision: int = 0, fanout: int | None = None
    ) -> None:
        """Queue rows for all connected peers, or for ``fanout`` random ones, without waiting.

        A ``revision`` other than 0 means that the rows make a mirror complete up to it. Large sets
        are sent in several messages, and the random peers are chosen anew for each of them.
        """

    @abstractmethod
    def on_rows(self, handler: RowsHandler) -> None:
        """Register the handler of pushed rows. It is called with member, rows and revision."""
