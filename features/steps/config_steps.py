"""Steps of config/*.feature."""

from __future__ import annotations

import copy
import json
import re
import tempfile
from pathlib import Path
from typing import Any

import json5
from behave import given
from behave import then
from behave import when

from acaciasaddle import config
from acaciasaddle.errors import ConfigError


def _upstream(name: str, port: int, data_centre: str, **other: Any) -> dict[str, Any]:
    address = f"127.0.0.1:{port}"
    return {"name": name, "address": address, "data_centre": data_centre, "slots": 2, **other}


def _kind(name: str, method: str, path: str, **other: Any) -> dict[str, Any]:
    kind = {"name": name, "service": "bookings", "method": method, "path": path, "rank": "urgent"}
    return kind | other


VALID: dict[str, Any] = {
    "inventory": {
        "data_centres": [{"name": "north"}, {"name": "south"}],
        "services": [
            {
                "name": "bookings",
                "upstreams": [
                    _upstream("u1", 7001, "north"),
                    _upstream("u2", 7002, "north", slots=4),
                    _upstream("u3", 7003, "south", state="leaving"),
                ],
            },
            {"name": "roster", "upstreams": [_upstream("r1", 7101, "south")]},
        ],
    },
    "rules": {
        "ranks": [
            {"name": "urgent", "target_ms": 10, "share": 0.5},
            {"name": "bulk", "target_ms": 5000, "share": 0.1},
        ],
        "kinds": [
            _kind("lookup", "GET", "/bookings/{key}"),
            _kind("deposit", "POST", "/bookings/{key}/deposit", once=True),
            _kind("files", "GET", "/bookings/{key}/files/*", rank="bulk"),
            _kind("detail", "GET", "/bookings/{key}/files/detail"),
        ],
        "groups": [
            {
                "name": "vip",
                "service": "bookings",
                "key_prefix": "vip-",
                "data_centres": ["north"],
            },
            {
                "name": "gold",
                "service": "bookings",
                "key_prefix": "vip-gold",
                "data_centres": ["north"],
            },
        ],
        "access": [{"caller": "embassy", "data_centres": ["south"]}],
    },
}
SETTINGS = {
    "host_id": "h1",
    "data_centre": "north",
    "caller_address": "127.0.0.1:1",
    "peer_address": "127.0.0.1:2",
    "operator_address": "127.0.0.1:3",
    "platform_address": "127.0.0.1:4",
}


def set_at(value: Any, place: str, new: Any) -> None:
    """Set the value at a place such as ``rules.ranks[1].share`` to ``new``."""
    *parents, last = [
        int(index) if index else name for index, name in re.findall(r"\[(\d+)\]|(\w+)", place)
    ]
    for part in parents:
        value = value[part]
    value[last] = new


class ConfigSteps:
    """Guards against an invalid configuration that is accepted, and against unclear findings."""

    @staticmethod
    def problems(context: Any) -> list[str]:
        try:
            config.parse_config(context.raw_config["inventory"], context.raw_config["rules"])
        except ConfigError as exc:
            return list(exc.problems)
        return []

    @staticmethod
    def parsed(context: Any) -> tuple[config.Inventory, config.Rules]:
        return config.parse_config(context.raw_config["inventory"], context.raw_config["rules"])

    @staticmethod
    def names(text: str) -> frozenset[str]:
        return frozenset(text.split(", "))

    @staticmethod
    @given("a configuration")
    def valid(context: Any) -> None:
        context.raw_config = copy.deepcopy(VALID)

    @staticmethod
    @when("the configuration is loaded from files with comments")
    def load(context: Any) -> None:
        with tempfile.TemporaryDirectory() as directory:
            paths = [Path(directory, name) for name in VALID]
            for path in paths:
                text = json.dumps(context.raw_config[path.name])
                path.write_text(f"// A comment.\n{text[:-1]}, /* the end */}}\n")
            context.loaded = config.load_config(*paths)
            assert config.load_inventory(paths[0]) == context.loaded[0]
            assert config.load_rules(paths[1]) == context.loaded[1]

    @staticmethod
    @when("the configuration has {place} set to {value}")
    def change(context: Any, place: str, value: str) -> None:
        set_at(context.raw_config, place, json5.loads(value))

    @staticmethod
    @when("the configuration is read from a file with {content}")
    def read_file(context: Any, content: str) -> None:
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory, "f")
            if content == "100000 open brackets":
                path.write_text("[" * 100_000)
            elif content == "binary data":
                path.write_bytes(b"\xff\x00")
            elif content != "no such file":
                path.write_text(content)
            try:
                config.read_json(path)
                context.problems = ()
            except ConfigError as exc:
                context.problems = exc.problems

    @staticmethod
    @then("the configuration text {text} is read as {value}")
    def read_text(context: Any, text: str, value: str) -> None:
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory, "f")
            path.write_text(text.encode().decode("unicode_escape"))
            assert config.read_json(path) == json.loads(value), config.read_json(path)

    @staticmethod
    @then("the configuration is valid")
    def is_valid(context: Any) -> None:
        config.check_config(*context.loaded)

    @staticmethod
    @then('the configuration has {shards:d} shards for "{service}"')
    def shards(context: Any, shards: int, service: str) -> None:
        assert config.group_shards(*context.loaded)[service, "default"] == shards

    @staticmethod
    @then("the configuration written as JSON and parsed again is equal")
    def round_trip(context: Any) -> None:
        reparsed = config.parse_config(*[config.to_json(part) for part in context.loaded])
        assert reparsed == context.loaded, reparsed

    @staticmethod
    @then('the only configuration problem is "{problem}"')
    def only_problem(context: Any, problem: str) -> None:
        assert ConfigSteps.problems(context) == [problem], ConfigSteps.problems(context)

    @staticmethod
    @then("the configuration problems are at")
    def problem_places(context: Any) -> None:
        places = [": ".join(text.split(": ")[:2]) for text in ConfigSteps.problems(context)]
        assert places == context.text.splitlines(), ConfigSteps.problems(context)

    @staticmethod
    @then('the configuration problem of the file contains "{problem}"')
    def file_problem(context: Any, problem: str) -> None:
        assert len(context.problems) == 1 and problem in context.problems[0], context.problems

    @staticmethod
    @then('the settings with "{field}" set to "{value}" have {count:d} problems')
    def settings(context: Any, field: str, value: str, count: int) -> None:
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory, "host.json")
            path.write_text(json.dumps(SETTINGS | {field: value}))
            try:
                config.check_config(*ConfigSteps.parsed(context), config.load_settings(path))
                problems: tuple[str, ...] = ()
            except ConfigError as exc:
                problems = exc.problems
        assert len(problems) == count, problems
        assert all(f"$.{field}: " in problem for problem in problems), problems

    @staticmethod
    @then('the configuration classifies {method} {path} as "{expected}"')
    def classify(context: Any, method: str, path: str, expected: str) -> None:
        match = config.classify(ConfigSteps.parsed(context)[1], method, path)
        found = f"{match.kind.name} {match.key}" if match else "nothing"
        assert found == expected, found

    @staticmethod
    @then('the configuration assigns "{service}" keys "{keys}" to groups "{groups}"')
    def groups(context: Any, service: str, keys: str, groups: str) -> None:
        classifier = config.Classifier(ConfigSteps.parsed(context)[1])
        found = [classifier.group_of(service, key) for key in keys.split(", ")]
        assert found == groups.split(", "), found

    @staticmethod
    @then(
        'the configuration lets "{centres}" serve group "{group}" '
        'and "{other_centres}" serve group "{other_group}"'
    )
    def by_group(
        context: Any, centres: str, group: str, other_centres: str, other_group: str
    ) -> None:
        for names, name in ((centres, group), (other_centres, other_group)):
            found = config.group_data_centres(*ConfigSteps.parsed(context), "bookings", name)
            assert found == ConfigSteps.names(names), found

    @staticmethod
    @then(
        'the configuration lets "{centres}" serve caller "{caller}" '
        'and "{other_centres}" serve caller "{other_caller}"'
    )
    def by_caller(
        context: Any, centres: str, caller: str, other_centres: str, other_caller: str
    ) -> None:
        for names, name in ((centres, caller), (other_centres, other_caller)):
            found = config.caller_data_centres(*ConfigSteps.parsed(context), name)
            assert found == ConfigSteps.names(names), found

    @staticmethod
    @then(
        'the configuration lets no data centre serve caller "{caller}" with keys of group "{group}"'
    )
    def no_data_centre(context: Any, caller: str, group: str) -> None:
        found = config.allowed_data_centres(
            *ConfigSteps.parsed(context), service="bookings", group=group, caller=caller
        )
        assert not found, found

    @staticmethod
    @then('the configuration has "{expected}" as candidates for group "{group}"')
    def candidates(context: Any, expected: str, group: str) -> None:
        found = config.owner_candidates(*ConfigSteps.parsed(context), "bookings", group)
        assert ", ".join(f"{name}={slots:g}" for name, slots in found) == expected, found
