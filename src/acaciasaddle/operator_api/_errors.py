"""Errors that the client of the operator API raises."""

from __future__ import annotations

from typing import TYPE_CHECKING

from acaciasaddle.errors import AcaciasaddleError

if TYPE_CHECKING:
    from acaciasaddle.errors import Outcome


class OperatorApiError(AcaciasaddleError):
    """An entry host refused an operator's request or gave an unexpected response."""


class HostUnreachableError(OperatorApiError):
    """An entry host did not respond. ``sent`` is true if it may have received the request."""

    def __init__(self, message: str, *, sent: bool, step: str, peer: str = "") -> None:
        super().__init__(message, step=step, peer=peer)
        self.sent = sent


class ChangeConflictError(OperatorApiError):
    """Another change came first, or the expected version is not in force; nothing was applied.

    ``version`` is the version in force as known to the host, or 0 if its response has none. It can
    be out of date if two changes were sent at the same time.
    """

    def __init__(self, message: str, *, version: int, step: str, peer: str = "") -> None:
        super().__init__(message, step=step, peer=peer)
        self.version = version


class ChangeNotConfirmedError(OperatorApiError):
    """A change was not confirmed as accepted; ``outcome`` says whether it may have been applied."""

    def __init__(self, message: str, *, outcome: Outcome, step: str, peer: str = "") -> None:
        super().__init__(message, step=step, peer=peer)
        self.outcome = outcome
