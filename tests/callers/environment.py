import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from support import reactor_thread  # noqa: E402


def before_all(context):
    reactor_thread.start()


def before_scenario(context, scenario):
    context.entry = None


def after_scenario(context, scenario):
    if context.entry is not None:
        context.entry.stop()
