"""Interface of the connections between entry hosts."""

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
    from acaciasaddle.model import ReplySink
    from acaciasaddle.model import Row
    from acaciasaddle.model import WorkRequest
    from acaciasaddle.wire import Call
    from acaciasaddle.wire import Hello
    from acaciasaddle.wire import Reply

WorkHandler = Callable[["WorkRequest", "BodySource", "ReplySink"], Awaitable[None]]
CallHandler = Callable[[str, "Call"], Awaitable["Reply"]]
RowsHandler = Callable[[str, tuple["Row", ...], int], None]


@dataclass(frozen=True, slots=True, kw_only=True)
class Digest:
    """What a peer last said of itself.

    ``revision`` is the table revision up to which its mirror is complete. ``heard_at`` is the
    reading of this host's clock when the digest arrived, in seconds.
    """

    member: str
    data_centre: str
    config_version: int
    revision: int
    heard_at: float


class PeerHub(Service):
    """Connections to all other entry hosts.

    Peers are named by member id, ``<host id>@<incarnation>``. Each side dials its own
    connection for the requests that it begins; answers return on the same connection.
    """

    name: ClassVar[str] = "peers"

    @abstractmethod
    def set_members(self, members: Mapping[str, str]) -> None:
        """Set the peer addresses (``ip:port``) of all known members except this one."""

    @abstractmethod
    def set_partners(self, partners: frozenset[str]) -> None:
        """Set the members that are sent a heartbeat every 80 ms."""

    @abstractmethod
    def set_digest(self, *, config_version: int, revision: int) -> None:
        """Set what this host says of itself in digests and heartbeats."""

    @abstractmethod
    def confirmed_at(self, member: str) -> float:
        """Return this host's clock reading that ``member`` last echoed with ``confirmed`` true.

        Minus infinity if there is none.
        """

    @abstractmethod
    def confirmation_sent_at(self, member: str) -> float:
        """Return when this host last answered a heartbeat of ``member`` with ``confirmed`` true."""

    @abstractmethod
    def heard_at(self, member: str) -> float:
        """Return when any message of ``member`` last arrived; minus infinity if never."""

    @abstractmethod
    def withhold_confirmation(self, member: str) -> None:
        """Answer heartbeats of ``member`` with ``confirmed`` false from now on."""

    @abstractmethod
    def restore_confirmation(self, member: str) -> None:
        """Answer heartbeats of ``member`` with ``confirmed`` true again."""

    @abstractmethod
    def digests(self) -> tuple[Digest, ...]:
        """Return the last digest of each peer heard of."""

    @abstractmethod
    async def call(self, member: str, call: Call, *, timeout: float) -> Reply:
        """Send a call and return its reply; a call to this host itself is served directly.

        Raises ``PeerUnreachableError`` or ``PeerError``.
        """

    @abstractmethod
    def on_call(self, kind: type[Call], handler: CallHandler) -> None:
        """Register the handler of one kind of call."""

    @abstractmethod
    async def work(self, member: str, req: WorkRequest, body: BodySource, reply: ReplySink) -> None:
        """Have ``member`` serve a request and stream its answer into ``reply``.

        Raises what the peer's handler raised (``RefusedError``, ``NotOwnerError``), or
        ``PeerUnreachableError`` whose ``sent`` says whether the request may have arrived.
        Cancelling the call cancels the peer's handler.
        """

    @abstractmethod
    def on_work(self, handler: WorkHandler) -> None:
        """Register the handler of requests from peers."""

    @abstractmethod
    async def identify(self, address: str) -> Hello:
        """Return what the host at an address says of itself, for seeds of unknown member id.

        Raises ``PeerUnreachableError`` or ``PeerProtocolError``.
        """

    @abstractmethod
    def push_rows(
        self, rows: Iterable[Row], *, revision: int = 0, fanout: int | None = None
    ) -> None:
        """Send rows to all connected peers, or to ``fanout`` random ones, without waiting.

        ``revision`` is not 0 if the rows make a mirror complete up to that revision.
        """

    @abstractmethod
    def on_rows(self, handler: RowsHandler) -> None:
        """Register the handler of pushed rows: called with member, rows and revision."""
