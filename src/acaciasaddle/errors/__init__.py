"""Exceptions raised by acaciasaddle. Each one names the step that failed and the peer, if any."""

from __future__ import annotations

from acaciasaddle.errors._decoding import DECODING_ERRORS
from acaciasaddle.errors._groups import leaf_exceptions
from acaciasaddle.errors._tree import AcaciasaddleError
from acaciasaddle.errors._tree import AuthorityLostError
from acaciasaddle.errors._tree import ConditionFailedError
from acaciasaddle.errors._tree import ConfigError
from acaciasaddle.errors._tree import HistoryExpiredError
from acaciasaddle.errors._tree import NotOwnerError
from acaciasaddle.errors._tree import Outcome
from acaciasaddle.errors._tree import PeerError
from acaciasaddle.errors._tree import PeerProtocolError
from acaciasaddle.errors._tree import PeerUnreachableError
from acaciasaddle.errors._tree import PlatformError
from acaciasaddle.errors._tree import PlatformUnavailableError
from acaciasaddle.errors._tree import RefusedError
from acaciasaddle.errors._tree import RequestError
from acaciasaddle.errors._tree import StoreRestoredError
from acaciasaddle.errors._tree import UpstreamError
from acaciasaddle.errors._tree import UpstreamUnreachableError
from acaciasaddle.errors._tree import WriteOutcomeUnknownError

__all__ = [
    "DECODING_ERRORS",
    "AcaciasaddleError",
    "AuthorityLostError",
    "ConditionFailedError",
    "ConfigError",
    "HistoryExpiredError",
    "NotOwnerError",
    "Outcome",
    "PeerError",
    "PeerProtocolError",
    "PeerUnreachableError",
    "PlatformError",
    "PlatformUnavailableError",
    "RefusedError",
    "RequestError",
    "StoreRestoredError",
    "UpstreamError",
    "UpstreamUnreachableError",
    "WriteOutcomeUnknownError",
    "leaf_exceptions",
]
