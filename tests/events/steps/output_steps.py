"""Steps for the buffered output of log lines."""

import json
import logging
import os

from behave import given
from behave import then
from behave import when
from twisted.internet import task as twisted_task

from azurevane._internal.events import formatting
from azurevane._internal.events import output

STEP_S = 0.05


class FlushClock(twisted_task.Clock):
    """A clock that takes the trigger of the shutdown."""

    def addSystemEventTrigger(self, *arguments):
        """Ignore the request, as nothing shuts down here."""


@given("a buffer of lines that is flushed")
def make_buffer(context):
    context.read_end, write_end = os.pipe()
    os.set_blocking(context.read_end, False)
    context.add_cleanup(os.close, context.read_end)
    context.add_cleanup(os.close, write_end)
    context.clock = FlushClock()
    context.buffer = output.LineBuffer(write_end)
    context.buffer.setFormatter(formatting.JsonFormatter())
    context.written, context.reading, context.logged = b"", True, 0
    package_logger = logging.getLogger("azurevane")
    level = package_logger.level
    package_logger.addHandler(context.buffer)
    package_logger.setLevel("INFO")
    context.add_cleanup(package_logger.setLevel, level)
    context.add_cleanup(package_logger.removeHandler, context.buffer)
    output.start_flushing(context.clock, context.buffer)


@given("a reader that reads nothing")
def stop_reading(context):
    context.reading = False


@when("{count:d} lines are logged")
def log_lines(context, count):
    for _ in range(count):
        logging.getLogger("azurevane.test").info("Something happened")
    context.logged += count


@when("{seconds:g} s pass")
def advance(context, seconds):
    for _ in range(round(seconds / STEP_S)):
        context.clock.advance(STEP_S)
        if context.reading:
            read(context)


def read(context):
    try:
        while chunk := os.read(context.read_end, 65536):
            context.written += chunk
    except BlockingIOError:
        return


@when("the reader reads on for {seconds:g} s")
def read_on(context, seconds):
    context.reading = True
    advance(context, seconds)


def lines_written(context):
    read(context)
    return context.written.decode().splitlines()


@then("nothing is scheduled")
def check_nothing_scheduled(context):
    assert context.clock.getDelayedCalls() == []


@then("{count:d} lines were written")
def check_lines(context, count):
    assert len(lines_written(context)) == count


@then("less than {count:d} lines were written")
def check_fewer_lines(context, count):
    assert len(lines_written(context)) < count


@then("the last line tells how many were dropped")
def check_dropped(context):
    lines = [json.loads(line) for line in lines_written(context)]
    dropped = lines[-1]["lines"]
    assert dropped + len(lines) - 1 == context.logged, lines[-1]
