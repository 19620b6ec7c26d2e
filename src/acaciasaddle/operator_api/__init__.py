"""Operator API of entry hosts: request and response bodies, and a client."""

from __future__ import annotations

from acaciasaddle.operator_api._bodies import ChangeAccepted
from acaciasaddle.operator_api._bodies import ChangeRequest
from acaciasaddle.operator_api._bodies import HostProgress
from acaciasaddle.operator_api._bodies import KeyExplanation
from acaciasaddle.operator_api._bodies import Progress
from acaciasaddle.operator_api._bodies import Status
from acaciasaddle.operator_api._bodies import UpstreamStatus
from acaciasaddle.operator_api._bodies import from_json
from acaciasaddle.operator_api._bodies import to_json
from acaciasaddle.operator_api._client import OperatorClient
from acaciasaddle.operator_api._errors import ChangeConflictError
from acaciasaddle.operator_api._errors import ChangeNotConfirmedError
from acaciasaddle.operator_api._errors import HostUnreachableError
from acaciasaddle.operator_api._errors import OperatorApiError

__all__ = [
    "ChangeAccepted",
    "ChangeConflictError",
    "ChangeNotConfirmedError",
    "ChangeRequest",
    "HostProgress",
    "HostUnreachableError",
    "KeyExplanation",
    "OperatorApiError",
    "OperatorClient",
    "Progress",
    "Status",
    "UpstreamStatus",
    "from_json",
    "to_json",
]
