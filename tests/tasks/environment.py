import pathlib
import sys

from azurevane._internal import invariants

TESTS = pathlib.Path(__file__).resolve().parents[1]
sys.path[:0] = [str(TESTS), str(TESTS.parent / "benchmarks")]


def after_scenario(context, scenario):
    invariants.enable(False)
