"""Client of the operator API of entry hosts."""

from __future__ import annotations

import json
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar
from urllib.parse import urlencode

import httpcore
from pydantic import ValidationError

from acaciasaddle.errors import DECODING_ERRORS
from acaciasaddle.errors import ConfigError
from acaciasaddle.errors import Outcome
from acaciasaddle.operator_api._bodies import ChangeAccepted
from acaciasaddle.operator_api._bodies import KeyExplanation
from acaciasaddle.operator_api._bodies import Progress
from acaciasaddle.operator_api._bodies import Status
from acaciasaddle.operator_api._bodies import from_json
from acaciasaddle.operator_api._bodies import to_json
from acaciasaddle.operator_api._errors import ChangeConflictError
from acaciasaddle.operator_api._errors import ChangeNotConfirmedError
from acaciasaddle.operator_api._errors import HostUnreachableError
from acaciasaddle.operator_api._errors import OperatorApiError
from acaciasaddle.plan import Plan

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator
    from collections.abc import Sequence

    from acaciasaddle.errors import AcaciasaddleError
    from acaciasaddle.operator_api._bodies import ChangeRequest

T = TypeVar("T")

DEFAULT_TIMEOUT_S = 10.0
"""Longer than a host usually needs to write a change: two attempts of 2 s and their read-backs."""
APPLY_ATTEMPTS = 4
APPLY_RETRY_DELAY_S = 1.0
PROGRESS_INTERVAL_S = 0.5


@dataclass(frozen=True, slots=True)
class _Response:
    status: int
    body: bytes
    host: str


class OperatorClient:
    """Client of the operator API of entry hosts.

    If a host cannot be reached, the next one is tried. Any host can serve any operation but
    ``explain_request``, which only the host that the request entered can serve. All operations
    raise ``OperatorApiError``.
    """

    def __init__(
        self,
        *,
        hosts: Sequence[str],
        timeout_s: float = DEFAULT_TIMEOUT_S,
        network: httpcore.NetworkBackend | None = None,
        now: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        """``hosts`` are the operator addresses of one or more hosts, as ``ip:port``."""
        self._hosts = list(hosts)
        self._timeout_s = timeout_s
        self._network = network or httpcore.SyncBackend()
        self._now = now
        self._sleep = sleep

    def plan(self, change: ChangeRequest) -> Plan:
        """Return the effects of a change without applying it. Raises ``ConfigError``."""
        response = self._call("operator.plan", "POST", "/plan", to_json(change))
        self._raise_if_invalid(response, "operator.plan")
        return self._parse(Plan, response, "operator.plan")

    def apply(self, change: ChangeRequest) -> ChangeAccepted:
        """Apply a change.

        An attempt that is neither accepted nor rejected is repeated with the same ``change_id``, so
        that the change is applied at most once. After an attempt that may have taken effect, a
        rejection other than a conflict is repeated too. Raises ``ConfigError`` if the configuration
        is not valid or cannot replace the one in force, ``ChangeConflictError`` if another change
        came first or the expected version is not in force, and ``ChangeNotConfirmedError`` if the
        last attempt failed as well. The outcome of the latter is ``unknown`` if any attempt may
        have taken effect.
        """
        outcome = Outcome.NOT_RUN
        reason: AcaciasaddleError | None = None
        for attempt in range(APPLY_ATTEMPTS):
            if attempt:
                self._sleep(APPLY_RETRY_DELAY_S)
            try:
                return self._apply_once(change)
            except ChangeConflictError:
                raise
            except HostUnreachableError as exc:
                reason = exc
                if exc.sent:
                    outcome = Outcome.UNKNOWN
            except ChangeNotConfirmedError as exc:
                reason = exc
                if exc.outcome is not Outcome.NOT_RUN:
                    outcome = Outcome.UNKNOWN
            except (ConfigError, OperatorApiError) as exc:
                # The rejection of a retry does not show whether an earlier attempt was applied.
                if outcome is Outcome.NOT_RUN:
                    raise
                reason = exc
        assert reason is not None
        message = (
            "the change was not applied"
            if outcome is Outcome.NOT_RUN
            else f"the change {change.change_id} may or may not have been applied"
        )
        raise ChangeNotConfirmedError(
            f"{message}: {reason.message}", outcome=outcome, step=reason.step, peer=reason.peer
        ) from reason

    def progress(self, version: int | None = None) -> Progress:
        """Return the hosts' progress towards a version, by default the version in force."""
        query = {} if version is None else {"version": version}
        response = self._call("operator.progress", "GET", _target("/progress", query))
        return self._parse(Progress, response, "operator.progress")

    def watch(self, version: int | None, *, wait_s: float) -> Iterator[Progress]:
        """Yield the progress until it is complete or ``wait_s`` seconds have passed.

        Failed calls are repeated until then. Raises ``OperatorApiError`` if none succeeded.
        """
        deadline = self._now() + wait_s
        yielded = False
        while True:
            try:
                progress = self.progress(version)
            except OperatorApiError:
                if not yielded and self._now() >= deadline:
                    raise
            else:
                yielded = True
                yield progress
                if progress.complete:
                    return
            remaining = deadline - self._now()
            if remaining <= 0:
                return
            self._sleep(min(PROGRESS_INTERVAL_S, remaining))

    def status(self) -> Status:
        """Return the state of a host."""
        response = self._call("operator.status", "GET", "/status")
        return self._parse(Status, response, "operator.status")

    def explain_key(self, service: str, key: str) -> KeyExplanation:
        """Return the owner of a key and the reason for it."""
        target = _target("/explain", {"service": service, "key": key})
        response = self._call("operator.explain", "GET", target)
        return self._parse(KeyExplanation, response, "operator.explain")

    def explain_request(self, request_id: str) -> dict[str, Any]:
        """Return what the host that responds has recorded about a request.

        Only the host that the request entered has a record of it; another one responds with an
        error, and no further host is tried.
        """
        target = _target("/explain", {"request": request_id})
        response = self._call("operator.explain", "GET", target)
        return self._parse(dict[str, Any], response, "operator.explain")

    def _apply_once(self, change: ChangeRequest) -> ChangeAccepted:
        step = "operator.apply"
        response = self._call(step, "POST", "/config", to_json(change))
        self._raise_if_invalid(response, step)
        content = _json_object(response.body)
        if response.status == 409:
            value = content.get("version")
            version = value if isinstance(value, int) else 0
            raise ChangeConflictError(
                f"nothing was applied, version {version} is in force: {_error_text(response)}",
                version=version,
                step=step,
                peer=response.host,
            )
        if response.status == 200:
            try:
                return from_json(ChangeAccepted, response.body)
            except ValidationError:
                pass
        elif 400 <= response.status < 500:
            raise OperatorApiError(_error_text(response), step=step, peer=response.host)
        not_run = response.status == 503 and content.get("outcome") == Outcome.NOT_RUN.value
        raise ChangeNotConfirmedError(
            _error_text(response),
            outcome=Outcome.NOT_RUN if not_run else Outcome.UNKNOWN,
            step=step,
            peer=response.host,
        )

    def _call(self, step: str, method: str, target: str, body: Any = None) -> _Response:
        """Call the hosts in turn until one responds; later calls start with that host."""
        failure: HostUnreachableError | None = None
        for host in list(self._hosts):
            try:
                return self._exchange(step, host, method, target, body)
            except HostUnreachableError as exc:
                self._hosts.append(self._hosts.pop(0))
                # A change that a host may have received is not sent to the next host here, since
                # ``apply`` decides about retries and keeps track of the outcome.
                if target == "/config" and exc.sent:
                    raise
                failure = exc
        assert failure is not None
        raise failure

    def _exchange(self, step: str, host: str, method: str, target: str, body: Any) -> _Response:
        name, _, port = host.rpartition(":")
        url = httpcore.URL(
            scheme=b"http", host=name.strip("[]").encode(), port=int(port), target=target
        )
        content = b"" if body is None else json.dumps(body).encode()
        headers = [("Host", host), ("Content-Length", str(len(content)))]
        if body is not None:
            headers.append(("Content-Type", "application/json"))
        try:
            stream = self._network.connect_tcp(name.strip("[]"), int(port), timeout=self._timeout_s)
        except (httpcore.NetworkError, httpcore.TimeoutException) as exc:
            raise HostUnreachableError(
                f"no connection: {_describe(exc)}", sent=False, step=step, peer=host
            ) from exc
        with httpcore.HTTP11Connection(origin=url.origin, stream=stream) as conn:
            timeouts = {"read": self._timeout_s, "write": self._timeout_s}
            req = httpcore.Request(
                method, url, headers=headers, content=content, extensions={"timeout": timeouts}
            )
            try:
                resp = conn.handle_request(req)
                data = resp.read()
            except (
                httpcore.NetworkError,
                httpcore.TimeoutException,
                httpcore.ProtocolError,
            ) as exc:
                raise HostUnreachableError(
                    f"no response: {_describe(exc)}", sent=True, step=step, peer=host
                ) from exc
        return _Response(status=resp.status, body=data, host=host)

    def _raise_if_invalid(self, response: _Response, step: str) -> None:
        if response.status != 422:
            return
        problems = _json_object(response.body).get("problems")
        listed = [str(problem) for problem in problems] if isinstance(problems, list) else []
        raise ConfigError(
            "the host does not accept the configuration",
            problems=tuple(listed),
            step=step,
            peer=response.host,
        )

    def _parse(self, cls: type[T], response: _Response, step: str) -> T:
        if response.status != 200:
            raise OperatorApiError(_error_text(response), step=step, peer=response.host)
        try:
            return from_json(cls, response.body)
        except ValidationError as exc:
            first = exc.errors(include_url=False)[0]
            path = ".".join(str(part) for part in first["loc"])
            raise OperatorApiError(
                f"malformed response: {path}: {first['msg']}", step=step, peer=response.host
            ) from exc


def _target(path: str, query: dict[str, Any]) -> str:
    return f"{path}?{urlencode(query)}" if query else path


def _json_object(body: bytes) -> dict[str, Any]:
    try:
        content = json.loads(body)
    except DECODING_ERRORS:
        return {}
    return content if isinstance(content, dict) else {}


def _error_text(response: _Response) -> str:
    content = _json_object(response.body)
    for field in ("error", "reason", "detail", "title"):
        if text := content.get(field):
            return str(text)
    return f"the host answered with status {response.status}"


def _describe(exc: Exception) -> str:
    if isinstance(exc, httpcore.TimeoutException):
        return "timeout"
    return str(exc) or type(exc).__name__
