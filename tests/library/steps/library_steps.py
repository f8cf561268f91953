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


@when('the example of "{page}" is run')
def run_example(context, page):
    text = (ROOT / page).read_text()
    (code,) = re.findall(r"```python\n(.*?)```", text, re.DOTALL)
    run_code(context, code)


@then("it ends without an error")
def check_run(context):
    assert context.completed.returncode == 0, context.completed.stderr


@when("the public parts are imported alone")
def import_parts(context):
    run_code(
        context,
        "import sys, azurevane.configuration, azurevane.limits\n"
        "import azurevane.verdicts\n"
        "print([n for n in sys.modules if n.startswith('twisted')\n"
        "       or 'daemons' in n])\n",
    )


@then("neither a daemon nor Twisted is loaded")
def check_imports(context):
    check_run(context)
    assert context.completed.stdout.strip() == "[]", context.completed.stdout
