import pathlib
import re
import subprocess
import sys

from behave import then
from behave import when

ROOT = pathlib.Path(__file__).resolve().parents[3]


def run_code(context, code):
    context.completed = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


@when('the example in "{page}" is run')
def run_example(context, page):
    text = (ROOT / page).read_text()
    (code,) = re.findall(r"```python\n(.*?)```", text, re.DOTALL)
    run_code(context, code)


@then("the process exits without an error")
def check_exit_status(context):
    assert context.completed.returncode == 0, context.completed.stderr


@when("only the public modules are imported")
def import_public_modules(context):
    run_code(
        context,
        "import sys, azurevane.configuration, azurevane.limits\n"
        "import azurevane.verdicts\n"
        "print([n for n in sys.modules if n.startswith('twisted')\n"
        "       or 'daemons' in n])\n",
    )


@then("neither a daemon nor Twisted is imported")
def check_imported_modules(context):
    check_exit_status(context)
    assert context.completed.stdout.strip() == "[]", context.completed.stdout
