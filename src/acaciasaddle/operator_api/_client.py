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
"""Longer than the two attempts of 2 s, with read-backs, that a host makes at the store."""
APPLY_ATTEMPTS = 4
APPLY_PAUSE_S = 1.0
PROGRESS_INTERVAL_S = 0.5


@dataclass(frozen=True, slots=True)
class _Answer:
    status: int
    body: bytes
    host: str


class OperatorClient:
    """Client of the operator API of entry hosts, all of which know the same.

    A host that cannot be reached is passed over for the next one. All operations raise
    ``OperatorApiError``.
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
        """``hosts`` are the hosts' operator addresses, ``ip:port``, at least one."""
        self._hosts = list(hosts)
        self._timeout_s = timeout_s
        self._network = network or httpcore.SyncBackend()
        self._now = now
        self._sleep = sleep

    def plan(self, change: ChangeRequest) -> Plan:
        """Return what a change would do; nothing is applied. Raises ``ConfigError``."""
        answer = self._call("operator.plan", "POST", "/plan", to_json(change))
        self._raise_if_invalid(answer, "operator.plan")
        return self._parse(Plan, answer, "operator.plan")

    def apply(self, change: ChangeRequest) -> ChangeAccepted:
        """Apply a change.

        An attempt without a clear answer is repeated under the same ``change_id``, so that the
        change is applied at most once. Raises ``ConfigError`` if the change is not valid,
        ``ChangeConflictError`` if another one came first and ``ChangeNotConfirmedError`` if the
        last attempt failed as well: its outcome is ``unknown`` if any attempt may have taken
        effect.
        """
        outcome = Outcome.NOT_RUN
        reason: AcaciasaddleError | None = None
        for attempt in range(APPLY_ATTEMPTS):
            if attempt:
                self._sleep(APPLY_PAUSE_S)
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
                # A refusal of the repeat does not tell what became of an earlier attempt.
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
        """Return how far a version, or the version in force, has come."""
        query = {} if version is None else {"version": version}
        answer = self._call("operator.progress", "GET", _target("/progress", query))
        return self._parse(Progress, answer, "operator.progress")

    def watch(self, version: int | None, *, wait_s: float) -> Iterator[Progress]:
        """Yield the progress until it is complete or ``wait_s`` have passed.

        The last one yielded is the latest known. Raises ``OperatorApiError`` only if there is
        none at all.
        """
        until = self._now() + wait_s
        seen = False
        while True:
            try:
                progress = self.progress(version)
            except OperatorApiError:
                if not seen and self._now() >= until:
                    raise
            else:
                seen = True
                yield progress
                if progress.complete:
                    return
            left = until - self._now()
            if left <= 0:
                return
            self._sleep(min(PROGRESS_INTERVAL_S, left))

    def status(self) -> Status:
        """Return the state of a host."""
        answer = self._call("operator.status", "GET", "/status")
        return self._parse(Status, answer, "operator.status")

    def explain_key(self, service: str, key: str) -> KeyExplanation:
        """Return who owns a key and why."""
        target = _target("/explain", {"service": service, "key": key})
        answer = self._call("operator.explain", "GET", target)
        return self._parse(KeyExplanation, answer, "operator.explain")

    def explain_request(self, request_id: str) -> dict[str, Any]:
        """Return what became of a request, as far as the host knows."""
        target = _target("/explain", {"request": request_id})
        answer = self._call("operator.explain", "GET", target)
        return self._parse(dict[str, Any], answer, "operator.explain")

    def _apply_once(self, change: ChangeRequest) -> ChangeAccepted:
        step = "operator.apply"
        answer = self._call(step, "POST", "/config", to_json(change))
        self._raise_if_invalid(answer, step)
        content = _object(answer.body)
        if answer.status == 409:
            value = content.get("version")
            version = value if isinstance(value, int) else 0
            raise ChangeConflictError(
                f"nothing was applied, version {version} is in force: {_reason(answer)}",
                version=version,
                step=step,
                peer=answer.host,
            )
        if answer.status == 200:
            try:
                return from_json(ChangeAccepted, answer.body)
            except ValidationError:
                pass
        elif 400 <= answer.status < 500:
            raise OperatorApiError(_reason(answer), step=step, peer=answer.host)
        not_run = answer.status == 503 and content.get("outcome") == Outcome.NOT_RUN.value
        raise ChangeNotConfirmedError(
            _reason(answer),
            outcome=Outcome.NOT_RUN if not_run else Outcome.UNKNOWN,
            step=step,
            peer=answer.host,
        )

    def _call(self, step: str, method: str, target: str, body: Any = None) -> _Answer:
        """Ask the hosts in turn until one answers; the one that does is asked first next time."""
        failure: HostUnreachableError | None = None
        for host in list(self._hosts):
            try:
                return self._exchange(step, host, method, target, body)
            except HostUnreachableError as exc:
                self._hosts.append(self._hosts.pop(0))
                # A change that a host may have got is not sent to the next one at once: the
                # caller decides about the repeat and keeps account of the outcome.
                if target == "/config" and exc.sent:
                    raise
                failure = exc
        assert failure is not None
        raise failure

    def _exchange(self, step: str, host: str, method: str, target: str, body: Any) -> _Answer:
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
                f"no connection: {_cause(exc)}", sent=False, step=step, peer=host
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
                    f"no answer: {_cause(exc)}", sent=True, step=step, peer=host
                ) from exc
        return _Answer(status=resp.status, body=data, host=host)

    def _raise_if_invalid(self, answer: _Answer, step: str) -> None:
        if answer.status != 422:
            return
        problems = _object(answer.body).get("problems")
        listed = [str(problem) for problem in problems] if isinstance(problems, list) else []
        raise ConfigError(
            "the host does not accept the configuration",
            problems=tuple(listed),
            step=step,
            peer=answer.host,
        )

    def _parse(self, cls: type[T], answer: _Answer, step: str) -> T:
        if answer.status != 200:
            raise OperatorApiError(_reason(answer), step=step, peer=answer.host)
        try:
            return from_json(cls, answer.body)
        except ValidationError as exc:
            first = exc.errors(include_url=False)[0]
            path = ".".join(str(part) for part in first["loc"])
            raise OperatorApiError(
                f"malformed answer: {path}: {first['msg']}", step=step, peer=answer.host
            ) from exc


def _target(path: str, query: dict[str, Any]) -> str:
    return f"{path}?{urlencode(query)}" if query else path


def _object(body: bytes) -> dict[str, Any]:
    try:
        content = json.loads(body)
    except ValueError:
        return {}
    return content if isinstance(content, dict) else {}


def _reason(answer: _Answer) -> str:
    content = _object(answer.body)
    for field in ("error", "reason", "detail", "title"):
        if text := content.get(field):
            return str(text)
    return f"the host answered with status {answer.status}"


def _cause(exc: Exception) -> str:
    if isinstance(exc, httpcore.TimeoutException):
        return "timeout"
    return str(exc) or type(exc).__name__
