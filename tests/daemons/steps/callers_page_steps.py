import ast
import os
import pathlib
import re
import subprocess

from behave import then

EXAMPLE = re.compile(r"```sh\n(.*?)```\n```text\n(.*?)```", re.DOTALL)


@then('the examples in "{path}" print what the page shows')
def run_examples(context, path):
    port = context.site.port_by_name["entry-1"]
    environment = {
        **os.environ,
        "ENTRY": f"http://127.0.0.1:{port}",
        "KEY": "mills-key",
    }
    examples = EXAMPLE.findall(pathlib.Path(path).read_text())
    assert len(examples) == 8, len(examples)
    for command, expected in examples:
        printed = subprocess.run(
            ["bash", "-c", command],
            env=environment,
            stdout=subprocess.PIPE,
            text=True,
            timeout=20,
            check=True,
        ).stdout
        assert printed.strip() == expected.strip(), (command, printed)


def find_problem_types():
    """Yield the texts that follow a status in a call or a tuple."""
    for path in pathlib.Path("src/azurevane").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            parts = getattr(node, "args", None) or getattr(node, "elts", None)
            if not isinstance(parts, list):
                continue
            values = [getattr(part, "value", None) for part in parts]
            for status, text in zip(values, values[1:], strict=False):
                refusal = isinstance(status, int) and 400 <= status < 600
                if refusal and re.fullmatch("[a-z-]+", str(text)):
                    yield text


@then('every problem type of the code is listed in "{path}"')
def check_documented(context, path):
    listed = set(
        re.findall(r"\| `([a-z-]+)` \|", pathlib.Path(path).read_text())
    )
    found = set(find_problem_types())
    assert {"malformed", "digest-mismatch", "unknown-queue"} <= found, found
    assert found <= listed, found - listed
