"""Every function that sends to upstreams asks first whether it may."""

import ast
import pathlib

import sycamorespoke

PACKAGE = pathlib.Path(sycamorespoke.__file__).parent
# Calls that send a request to an upstream or a block store.
SENDING_CALLS = frozenset({"read_report", "order_version", "read_events", "free"})
SENDING_ATTRIBUTES = frozenset({"request", "urlopen", "getresponse"})
# What a function that sends, or the one that calls it, asks immediately before.
QUESTIONS = frozenset({"find_bar", "_is_barred", "get_backoff_s"})
# The adapter's functions, whose callers ask, and the client of the platform's store.
CLIENTS = frozenset(
    {
        ("platform/_engines.py", "_send"),
        ("platform/_engines.py", "read_report"),
        ("platform/_engines.py", "order_version"),
        ("platform/_block_stores.py", "_send"),
        ("platform/_store.py", "_send"),
    }
)


def list_calls(function):
    return {
        node.func.attr
        for node in ast.walk(function)
        if isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute)
    }


def list_functions(folder):
    for path in sorted((PACKAGE / folder).glob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.FunctionDef):
                yield f"{folder}/{path.name}", node


def test_every_send_to_an_upstream_asks_whether_it_may():
    sending, silent = [], []
    for folder in ("gateway", "platform"):
        for path, function in list_functions(folder):
            calls = list_calls(function)
            if not calls & (SENDING_CALLS | SENDING_ATTRIBUTES):
                continue
            if (path, function.name) in CLIENTS:
                continue
            sending.append((path, function.name))
            if not calls & QUESTIONS:
                silent.append((path, function.name))
    assert silent == []
    assert ("gateway/_exchange.py", "_send") in sending
    assert ("gateway/_store_follower.py", "step") in sending
