"""Collects test functions, including coroutines, into unittest suites."""

import asyncio
import functools
import inspect
import unittest
from collections.abc import Callable
from typing import Any


def collect(namespace: dict[str, Any]) -> unittest.TestSuite:
    """Return a suite with every ``test_*`` function of a module.

    :param namespace: the module's ``globals()``.
    """
    functions = [
        value
        for name, value in namespace.items()
        if name.startswith("test_") and callable(value)
    ]
    return unittest.TestSuite(map(_as_case, functions))


def _as_case(function: Callable[..., Any]) -> unittest.FunctionTestCase:
    body = function
    if inspect.iscoroutinefunction(function):

        @functools.wraps(function)
        def body() -> None:
            asyncio.run(function())

    case = unittest.FunctionTestCase(body, description=function.__qualname__)
    case.id = lambda: f"{function.__module__}.{function.__qualname__}"
    return case
