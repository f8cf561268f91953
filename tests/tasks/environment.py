import logging
import pathlib
import sys

from azurevane._internal import invariants

TESTS = pathlib.Path(__file__).resolve().parents[1]
sys.path[:0] = [str(TESTS), str(TESTS.parent / "benchmarks")]


def before_all(context):
    # Scenarios with faults log thousands of expected warnings.
    logging.disable(logging.WARNING)


def after_scenario(context, scenario):
    invariants.set_checks_enabled(False)
