import pathlib
import sys
import tempfile

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))


def before_scenario(context, scenario):
    context.scratch = tempfile.TemporaryDirectory()
    context.site = None
    context.proxy = None


def after_scenario(context, scenario):
    if context.site is not None:
        context.site.stop()
    if context.proxy is not None:
        context.proxy.shutdown()
    context.scratch.cleanup()
