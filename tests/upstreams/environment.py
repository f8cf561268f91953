import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from support import reactor_thread  # noqa: E402


def before_all(context):
    reactor_thread.start()


def before_scenario(context, scenario):
    context.runner = None


def after_scenario(context, scenario):
    if context.runner is not None:
        context.runner.stop()
