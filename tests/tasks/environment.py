import pathlib
import sys

TESTS = pathlib.Path(__file__).resolve().parents[1]
sys.path[:0] = [str(TESTS), str(TESTS.parent / "benchmarks")]
