import pathlib
import sys
import tempfile

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))


def before_scenario(context, scenario):
    context.scratch = tempfile.TemporaryDirectory()
    context.site = None
    context.collector = None


def after_scenario(context, scenario):
    if context.site is not None:
        context.site.stop()
    if context.collector is not None:
        context.collector.shutdown()
    context.scratch.cleanup()
