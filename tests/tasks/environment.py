import logging
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))


def before_all(context):
    # Scenarios with faults log thousands of expected warnings.
    logging.disable(logging.WARNING)
