import pathlib
import sys

TESTS = pathlib.Path(__file__).resolve().parents[1]
sys.path[:0] = [str(TESTS), str(TESTS.parent / "benchmarks")]

from support import reactor_thread  # noqa: E402


def before_all(context):
    reactor_thread.start()


def before_scenario(context, scenario):
    context.entry = None


def after_scenario(context, scenario):
    if context.entry is not None:
        context.entry.stop()
