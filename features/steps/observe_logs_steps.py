"""Steps of observe/logs.feature."""

from __future__ import annotations

import json
import os
import time
from typing import Any
from unittest import mock

import structlog
import trio
from behave import given
from behave import then
from behave import when
from structlog.testing import capture_logs

from acaciasaddle.observe import BoundedWriter
from acaciasaddle.observe import LoopMonitor
from acaciasaddle.observe import NullMetrics
from acaciasaddle.observe import RateLimiter


class BoundedWriterSteps:
    """Guards against a slow log reader that blocks the node."""

    @staticmethod
    @given("a pipe that nobody reads")
    def pipe(context: Any) -> None:
        context.read_fd, context.write_fd = os.pipe()
        context.bounded_writer = BoundedWriter(fd=context.write_fd)

    @staticmethod
    @when("{count:d} log lines are written to it")
    def write(context: Any, count: int) -> None:
        started = time.monotonic()
        for number in range(count):
            context.bounded_writer.write(
                json.dumps({"event": "x", "number": number}) + " " * 80 + "\n"
            )
        context.duration_s = time.monotonic() - started

    @staticmethod
    @then("writing took less than {seconds:g} s")
    def duration(context: Any, seconds: float) -> None:
        assert context.duration_s < seconds, context.duration_s

    @staticmethod
    @then("the reader later gets whole lines and the number of dropped lines")
    def read(context: Any) -> None:
        os.set_blocking(context.read_fd, False)
        data = b""
        for _ in range(50):
            context.bounded_writer.flush()
            try:
                data += os.read(context.read_fd, 1_000_000)
            except BlockingIOError:
                break
        context.bounded_writer.write('{"event": "last"}\n')
        data += os.read(context.read_fd, 1_000_000)
        events = [json.loads(line) for line in data.decode().splitlines()]
        written = sum(event["event"] == "x" for event in events)
        dropped = [event["count"] for event in events if "dropped" in event["event"]]
        assert len(dropped) == 1, dropped
        assert written + dropped[0] == 5000, (written, dropped)
        assert events[-1]["event"] == "last"
        os.close(context.read_fd)
        os.close(context.write_fd)


class RateLimiterSteps:
    """Guards against a failing dependency that floods the log."""

    @staticmethod
    @given("the rate limiter of a node")
    def limiter(context: Any) -> None:
        context.limiter = RateLimiter()
        context.lines = []

    @staticmethod
    def _log(context: Any, event: str, second: float, count: int) -> None:
        with mock.patch("time.monotonic", return_value=second):
            for _ in range(count):
                try:
                    line = context.limiter(None, "", {"event": event, "part": "p"})
                except structlog.DropEvent:
                    continue
                context.lines.append(line)

    @staticmethod
    @when("an event is logged {count:d} times in a second, and once in the next")
    def flood(context: Any, count: int) -> None:
        RateLimiterSteps._log(context, "failed", 10.5, count)
        RateLimiterSteps._log(context, "failed", 11.5, 1)

    @staticmethod
    @when('the event "{event}" is logged {count:d} times')
    def log_event(context: Any, event: str, count: int) -> None:
        RateLimiterSteps._log(context, event, 10.5, count)

    @staticmethod
    @then("{count:d} lines are written")
    def written(context: Any, count: int) -> None:
        assert len(context.lines) == count, len(context.lines)

    @staticmethod
    @then("the last line says that {count:d} were suppressed")
    def suppressed(context: Any, count: int) -> None:
        assert context.lines[-1]["suppressed"] == count, context.lines[-1]


class LoopMonitorSteps:
    """Guards against late requests of a busy or paused process that no log line explains."""

    @staticmethod
    @given("an event loop that is watched")
    def watched(context: Any) -> None:
        context.loop_metrics = mock.Mock(spec=NullMetrics)
        context.loop_monitor = LoopMonitor(metrics=context.loop_metrics)

    @staticmethod
    @when("a task runs for {seconds:g} s without a pause")
    def busy(context: Any, seconds: float) -> None:
        async def main() -> None:
            await trio.lowlevel.checkpoint()
            time.sleep(seconds)

        with capture_logs() as context.loop_lines:
            trio.run(main, instruments=[context.loop_monitor])

    @staticmethod
    @when("the process sleeps {seconds:g} s past a wait")
    def late(context: Any, seconds: float) -> None:
        with capture_logs() as context.loop_lines:
            context.loop_monitor.before_io_wait(0.01)
            time.sleep(0.01 + seconds)
            context.loop_monitor.after_io_wait(0.01)

    @staticmethod
    @then('one delay of kind "{kind}" and at least {seconds:g} s is logged and counted')
    def delay(context: Any, kind: str, seconds: float) -> None:
        lines = [line for line in context.loop_lines if line["kind"] == kind]
        assert len(lines) == 1 and lines[0]["seconds"] >= seconds, context.loop_lines
        context.loop_metrics.count.assert_called_once_with(f"loop.delayed.{kind}")
