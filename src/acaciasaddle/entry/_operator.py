"""Operator API for readiness, status, progress, explanations, plans and configuration changes."""

from __future__ import annotations

import json
import uuid
from functools import partial
from typing import TYPE_CHECKING
from typing import Any
from urllib.parse import parse_qs

import trio

from acaciasaddle.config import parse_config
from acaciasaddle.errors import DECODING_ERRORS
from acaciasaddle.errors import AcaciasaddleError
from acaciasaddle.errors import ConditionFailedError
from acaciasaddle.errors import ConfigError
from acaciasaddle.errors import Outcome
from acaciasaddle.errors import PlatformError
from acaciasaddle.errors import RefusedError
from acaciasaddle.errors import WriteOutcomeUnknownError
from acaciasaddle.mirror import Configuration
from acaciasaddle.model import ConfigRow
from acaciasaddle.model import HostState
from acaciasaddle.observe import get_logger
from acaciasaddle.ownership import member_id
from acaciasaddle.plan import make_plan

if TYPE_CHECKING:
    from acaciasaddle.entry._ingress import Ingress
    from acaciasaddle.ownership import Context
    from acaciasaddle.ownership import HostAuthority
    from acaciasaddle.ownership import MirrorRouter

CONFIG_KEY = "config/current"
HISTORY_ROWS = 1024
"""Number of rows for the history of the configuration. They are reused as a ring, since rows are
never deleted."""
MAX_BODY_BYTES = 8 * 1024 * 1024
UNREACHABLE_AFTER_S = 5.0

log = get_logger("operator")


class HttpError(Exception):
    """Ends the handling of a request with the given error status and JSON body."""

    def __init__(self, status: int, value: Any) -> None:
        super().__init__(status)
        self.status = status
        self.value = value


class OperatorApp:
    """ASGI application that serves the operator API."""

    def __init__(
        self, *, ctx: Context, router: MirrorRouter, authority: HostAuthority, ingress: Ingress
    ) -> None:
        self._ctx = ctx
        self._router = router
        self._authority = authority
        self._ingress = ingress

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        try:
            status, value = 200, await self._handle(scope, receive)
        except HttpError as exc:
            status, value = exc.status, exc.value
        except AcaciasaddleError as exc:
            status = 503
            value = {
                "error": exc.message,
                "outcome": Outcome.UNKNOWN.value,
                "step": exc.step,
                "peer": exc.peer,
            }
        data = json.dumps(value).encode()
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(data)).encode()),
        ]
        await send({"type": "http.response.start", "status": status, "headers": headers})
        await send({"type": "http.response.body", "body": data, "more_body": False})

    async def _handle(self, scope: Any, receive: Any) -> Any:
        query = {k: v[0] for k, v in parse_qs(scope.get("query_string", b"").decode()).items()}
        match scope["method"], scope["path"]:
            case "GET", "/ready":
                return self._ready()
            case "GET", "/status":
                return self._status()
            case "GET", "/progress":
                return self._progress(query)
            case "GET", "/explain" if "request" in query:
                return self._explain_request(query["request"])
            case "GET", "/explain":
                return self._explain_key(query)
            case "POST", "/plan":
                return await self._plan(await _read_json(receive))
            case "POST", "/config":
                return await self._apply(await _read_json(receive))
        raise HttpError(404, {"error": f"no such operation: {scope['method']} {scope['path']}"})

    # Operations that only read

    def _ready(self) -> Any:
        mirror = self._ctx.mirror
        ready = mirror.complete and mirror.configuration is not None
        if not ready:
            raise HttpError(
                503, {"ready": False, "reason": "the mirror is incomplete or has no configuration"}
            )
        return {"ready": True}

    def _status(self) -> Any:
        mirror, members = self._ctx.mirror, self._ctx.members
        cfg = mirror.configuration
        now = self._ctx.clock.now()
        return {
            "host": members.member.split("@", 1)[0],
            "member": members.member,
            "data_centre": members.data_centre,
            "config_version": cfg.version if cfg else 0,
            "ready": mirror.complete and cfg is not None,
            "store": "up" if mirror.store_up else "down",
            "peers": [
                {
                    "member": digest.member,
                    "data_centre": digest.data_centre,
                    "config_version": digest.config_version,
                    "heard_s_ago": round(now - digest.heard_at, 3),
                }
                for digest in self._ctx.hub.digests()
            ],
            "upstreams": [self._upstream_status(uid) for uid in (cfg.upstreams if cfg else ())],
        }

    def _upstream_status(self, uid: Any) -> Any:
        row = self._ctx.mirror.upstream_row(uid)
        holder, successor = self._router.holder(uid)
        held = self._authority.held.get(uid)
        load = self._ctx.dispatcher.load(uid) if held else None
        units = self._ctx.mirror.owners.units_of(str(uid)).values()
        owned = sum(assignment.owner == str(uid) for assignment in units)
        return {
            "upstream": str(uid),
            "holder": holder,
            "successor": successor,
            "term": row.term if row else 0,
            "state": row.health if row else "unknown",
            "units": owned,
            "busy": round(load.busy, 3) if load else None,
            "queued": load.queued if load else None,
        }

    def _progress(self, query: dict[str, str]) -> Any:
        cfg = self._ctx.mirror.configuration
        own = cfg.version if cfg else 0
        try:
            wanted = int(query.get("version", own))
        except ValueError:
            raise HttpError(400, {"error": "version is not a number"}) from None
        now = self._ctx.clock.now()
        digests = {digest.member: digest for digest in self._ctx.hub.digests()}
        hosts = []
        for row in sorted(self._ctx.mirror.host_rows(), key=lambda row: row.host_id):
            if row.state is not HostState.LIVE:
                continue
            member = member_id(row)
            digest = digests.get(member)
            version = own if member == self._ctx.member else digest.config_version if digest else 0
            silent = member != self._ctx.member and (
                digest is None or now - digest.heard_at > UNREACHABLE_AFTER_S
            )
            state = "in force" if version >= wanted else "unreachable" if silent else "behind"
            hosts.append(
                {
                    "host": row.host_id,
                    "data_centre": row.data_centre,
                    "version": version,
                    "state": state,
                }
            )
        complete = bool(hosts) and all(host["state"] == "in force" for host in hosts)
        return {"version": wanted, "hosts": hosts, "complete": complete}

    def _explain_key(self, query: dict[str, str]) -> Any:
        service, key = query.get("service", ""), query.get("key", "")
        if not service or not key:
            raise HttpError(400, {"error": "service and key are required"})
        cfg = self._ctx.mirror.configuration
        if cfg is None or service not in {svc.name for svc in cfg.inventory.services}:
            raise HttpError(404, {"error": f"service {service!r} does not exist"})
        try:
            route = self._router.route(service=service, key=key)
        except RefusedError as exc:
            raise HttpError(404, {"error": exc.message}) from exc
        assignment = self._ctx.mirror.assignment(route.unit)
        row = self._ctx.mirror.upstream_row(route.owner)
        assert assignment is not None
        return {
            "service": service,
            "key": key,
            "unit": str(route.unit),
            "group": route.unit.group,
            "rule": f"group {route.unit.group}, weighted rendezvous hashing by slots",
            "owner": str(route.owner),
            "holder": route.holder,
            "successor": route.successor,
            "term": row.term if row else 0,
            "epoch": route.epoch,
            "since": assignment.since,
            "reason": assignment.reason,
            "previous": assignment.previous,
            "in_force": row is not None and row.health == "ready" and not assignment.previous,
        }

    def _explain_request(self, request_id: str) -> Any:
        decisions = self._ingress.decision_log.get(request_id)
        if not decisions:
            host = request_id.rsplit("-", 1)[0]
            raise HttpError(
                404, {"error": f"request is not known here; by its id it entered at host {host}"}
            )
        return {
            "request": request_id,
            "steps": [{"at": d.at, "step": d.step, "detail": d.detail} for d in decisions],
        }

    # Plans and changes of the configuration

    def _validate(self, value: Any) -> Configuration:
        current = self._ctx.mirror.configuration
        if not isinstance(value, dict) or "inventory" not in value or "rules" not in value:
            raise HttpError(422, {"problems": ["$: expected an object with inventory and rules"]})
        try:
            parse_config(value["inventory"], value["rules"])
        except ConfigError as exc:
            raise HttpError(422, {"problems": list(exc.problems) or [exc.message]}) from exc
        row = ConfigRow(
            version=(current.version if current else 0) + 1,
            change_id=str(value.get("change_id") or uuid.uuid4()),
            author=str(value.get("author") or "unknown"),
            inventory=value["inventory"],
            rules=value["rules"],
        )
        changed = Configuration(row=row)
        problems = self._find_conflicts(changed)
        if problems:
            raise HttpError(422, {"problems": problems})
        return changed

    def _find_conflicts(self, changed: Configuration) -> list[str]:
        """Return the reasons why a valid configuration cannot replace the one in force."""
        problems: list[str] = []
        for service, group, shards in changed.groups():
            first = self._ctx.mirror.units_row(f"units/{service}/{group}/0")
            if first is not None and first.shards != shards:
                problems.append(
                    f"service {service}, group {group}: shards is {shards}, expected "
                    f"{first.shards}: the number is fixed when the group is created"
                )
        problems.extend(self._find_key_conflicts(changed))
        known = {str(uid) for uid in changed.upstreams}
        owners = self._ctx.mirror.owners
        problems.extend(
            f"upstream {uid} still owns units: set its state to leaving first"
            for uid in sorted(map(str, self._current_upstreams()))
            if uid not in known and owners.units_of(uid)
        )
        return problems

    def _find_key_conflicts(self, changed: Configuration) -> list[str]:
        """Return the reasons why the groups and the caller header cannot be changed in this way.

        Such a change would give keys other owners without a move, or keep the records of requests
        that must run at most once from being found.
        """
        current = self._ctx.mirror.configuration
        if current is None:
            return []
        problems: list[str] = []
        for service in {svc.name for svc in current.inventory.services}:
            before = {(g.name, g.key_prefix) for g in current.rules.groups if g.service == service}
            after = {(g.name, g.key_prefix) for g in changed.rules.groups if g.service == service}
            problems.extend(
                f"rules: group {name!r} of service {service!r}: groups and their key prefixes are "
                "fixed once the service is in use, since keys would change owners without a move"
                for name, _ in sorted(before ^ after)
            )
        if current.rules.caller_header != changed.rules.caller_header:
            problems.append(
                f"rules: caller_header is {changed.rules.caller_header!r}, expected "
                f"{current.rules.caller_header!r}: records of requests that run at most once "
                "identify the caller by it"
            )
        return problems

    def _current_upstreams(self) -> Any:
        cfg = self._ctx.mirror.configuration
        return cfg.upstreams if cfg else ()

    async def _plan(self, value: Any) -> Any:
        changed = self._validate(value)
        current = self._ctx.mirror.configuration
        # In a thread, since a plan for hundreds of upstreams takes about a second, which is longer
        # than heartbeats may be delayed.
        plan = await trio.to_thread.run_sync(
            partial(
                make_plan,
                version=changed.version - 1,
                before_inventory=current.inventory if current else None,
                before_rules=current.rules if current else None,
                after_inventory=changed.inventory,
                after_rules=changed.rules,
            )
        )
        return plan.to_json()

    async def _apply(self, value: Any) -> Any:
        try:
            await self._ctx.mirror.refresh()
        except PlatformError as exc:
            log.info(
                "configuration change refused, table not read", step=exc.step, error=exc.message
            )
            raise HttpError(503, {"outcome": "not-run", "error": exc.message}) from exc
        repeated = self._find_accepted(value)
        if repeated is not None:
            return repeated
        changed = self._validate(value)
        expected = value.get("expected_version")
        if expected is not None and expected != changed.version - 1:
            raise HttpError(
                409,
                {
                    "version": changed.version - 1,
                    "error": f"the configuration does not have the expected version {expected}",
                },
            )
        return await self._write(changed, value)

    def _find_accepted(self, value: Any) -> Any:
        """Return the response to a change that has already been accepted; otherwise ``None``."""
        change_id = value.get("change_id") if isinstance(value, dict) else None
        if not change_id:
            return None
        for row in self._ctx.mirror.rows_under("config"):
            if row.value.get("change_id") == change_id:
                return {"version": int(row.value["version"]), "accepted": True, "repeated": True}
        return None

    async def _write(self, changed: Configuration, value: Any) -> Any:
        mirror = self._ctx.mirror
        version = changed.version
        change_id = str(value.get("change_id") or uuid.uuid4())
        author = str(value.get("author") or "unknown")
        row = ConfigRow(
            version=version,
            change_id=change_id,
            author=author,
            inventory=value["inventory"],
            rules=value["rules"],
        )
        history = f"config/history/{version % HISTORY_ROWS}"

        def history_value(write_id: str) -> dict[str, Any]:
            return {
                "version": version,
                "change_id": change_id,
                "author": author,
                "write_id": write_id,
            }

        try:
            await self._ctx.write(
                conditions={
                    CONFIG_KEY: mirror.version(CONFIG_KEY),
                    history: mirror.version(history),
                },
                puts={CONFIG_KEY: row.to_json, history: history_value},
            )
        except ConditionFailedError as exc:
            raise HttpError(
                409, {"version": version - 1, "error": "another change came first"}
            ) from exc
        except WriteOutcomeUnknownError as exc:
            raise HttpError(503, {"outcome": "unknown", "error": exc.message}) from exc
        except PlatformError as exc:
            raise HttpError(503, {"outcome": "not-run", "error": exc.message}) from exc
        log.info("configuration change accepted", version=version, author=author, change=change_id)
        return {"version": version, "accepted": True}


async def _read_json(receive: Any) -> Any:
    data = bytearray()
    more = True
    while more:
        message = await receive()
        if message["type"] != "http.request":
            raise HttpError(400, {"error": "the body ended early"})
        data += message.get("body", b"")
        if len(data) > MAX_BODY_BYTES:
            raise HttpError(413, {"error": f"the body exceeds {MAX_BODY_BYTES} bytes"})
        more = message.get("more_body", False)
    try:
        return json.loads(bytes(data))
    except DECODING_ERRORS as exc:
        raise HttpError(400, {"error": f"the body is not JSON: {exc}"}) from exc
