"""The hierarchy of exceptions."""

from __future__ import annotations

from enum import StrEnum


class Outcome(StrEnum):
    """Whether a request was executed by its upstream, as far as is known."""

    COMPLETED = "completed"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class AcaciasaddleError(Exception):
    """Base class of all errors.

    ``step`` names the operation that failed, for example ``peer.call`` or ``grant.order``.
    ``peer`` is what the operation concerned, such as a host, an upstream, a service or a file, or
    an empty string.
    """

    def __init__(self, message: str, *, step: str, peer: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        where = f"{self.step}, {self.peer}" if self.peer else self.step
        return f"{self.message} ({where})"


class ConfigError(AcaciasaddleError):
    """Settings, a configuration or another input is not valid.

    ``problems`` has the text of each finding; it is empty if the message names the only one.
    """

    def __init__(
        self, message: str, *, problems: tuple[str, ...] = (), step: str, peer: str = ""
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.problems = problems


class PlatformError(AcaciasaddleError):
    """The platform failed or refused an operation."""


class PlatformUnavailableError(PlatformError):
    """The platform did not respond, refused the operation or gave an unusable response.

    The operation had no effect.
    """


class WriteOutcomeUnknownError(PlatformError):
    """A write was sent without a conclusive response; it may or may not have taken effect."""


class ConditionFailedError(PlatformError):
    """A conditional write failed: at least one row has another version than expected.

    ``keys`` has the keys of these rows. If the platform does not name them, it has the keys of all
    rows with a condition, or none.
    """

    def __init__(self, message: str, *, keys: tuple[str, ...], step: str, peer: str = "") -> None:
        super().__init__(message, step=step, peer=peer)
        self.keys = keys


class StoreRestoredError(ConditionFailedError):
    """A conditional write failed because the store came back from an older copy.

    Its conditions name revisions of an earlier era, which say nothing of the rows of this one.
    """


class HistoryExpiredError(PlatformError):
    """The platform no longer has the requested changes; all rows have to be read again."""


class PeerError(AcaciasaddleError):
    """Communication with another host failed."""


class PeerUnreachableError(PeerError):
    """The peer could not be connected to, the connection ended, or no reply came in time.

    ``refused`` is true if the connection was refused, as it is after the peer's process has ended.
    ``sent`` is true if the request may have reached the peer.
    """

    def __init__(
        self,
        message: str,
        *,
        refused: bool = False,
        sent: bool = False,
        step: str,
        peer: str = "",
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.refused = refused
        self.sent = sent


class PeerProtocolError(PeerError):
    """A peer violated the protocol, or a message to it is too long or cannot be encoded."""


class AuthorityLostError(AcaciasaddleError):
    """This host's authority, or its role as coordinator, may have ended.

    Also raised if at-most-once records could not be replicated.
    """


class UpstreamError(AcaciasaddleError):
    """A request or an order to an upstream failed. ``outcome`` says whether the upstream ran it.

    Also raised within the client of the platform's store, which converts it to a ``PlatformError``.
    """

    def __init__(self, message: str, *, outcome: Outcome, step: str, peer: str = "") -> None:
        super().__init__(message, step=step, peer=peer)
        self.outcome = outcome


class UpstreamUnreachableError(UpstreamError):
    """No connection to the upstream was available or could be made; the request was not sent."""


class RequestError(AcaciasaddleError):
    """A caller's request is invalid; ``status`` is the HTTP status of the response."""

    def __init__(self, message: str, *, status: int, step: str, peer: str = "") -> None:
        super().__init__(message, step=step, peer=peer)
        self.status = status


class RefusedError(AcaciasaddleError):
    """A request was refused, or failed before its response was complete.

    ``retry_after`` is the suggested delay of a retry in seconds, or ``None`` if none is suggested.
    """

    def __init__(
        self,
        message: str,
        *,
        outcome: Outcome,
        status: int,
        retry_after: float | None = None,
        step: str,
        peer: str = "",
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.outcome = outcome
        self.status = status
        self.retry_after = retry_after


class NotOwnerError(AcaciasaddleError):
    """The host or the upstream does not serve the unit now.

    The request may be routed again: it did not run, or a second run has no further effect.
    """
