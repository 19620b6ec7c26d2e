"""Errors of the operator API as its client sees them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from acaciasaddle.errors import AcaciasaddleError

if TYPE_CHECKING:
    from acaciasaddle.errors import Outcome


class OperatorApiError(AcaciasaddleError):
    """An entry host refused an operator's request or answered it in an unexpected way."""


class HostUnreachableError(OperatorApiError):
    """No answer from an entry host. ``sent`` is true if it may have got the request."""

    def __init__(self, message: str, *, sent: bool, step: str, peer: str = "") -> None:
        super().__init__(message, step=step, peer=peer)
        self.sent = sent


class ChangeConflictError(OperatorApiError):
    """Another change came first; nothing was applied. ``version`` is the one in force."""

    def __init__(self, message: str, *, version: int, step: str, peer: str = "") -> None:
        super().__init__(message, step=step, peer=peer)
        self.version = version


class ChangeNotConfirmedError(OperatorApiError):
    """A change was not accepted; ``outcome`` says whether it may have been applied."""

    def __init__(self, message: str, *, outcome: Outcome, step: str, peer: str = "") -> None:
        super().__init__(message, step=step, peer=peer)
        self.outcome = outcome
