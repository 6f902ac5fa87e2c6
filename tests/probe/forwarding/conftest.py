"""Runs each coroutine test function with a new site and cancels the remaining tasks afterwards."""

import asyncio
import contextlib
import functools
import inspect

import pytest

from standins.platform_site import Site


async def _with_site(function, folder, arguments):
    site = await Site(folder).start()
    try:
        await function(site=site, **arguments)
    finally:
        tasks = [
            pending for pending in asyncio.all_tasks() if pending is not asyncio.current_task()
        ]
        for task in tasks:
            task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*tasks, return_exceptions=True)


@pytest.hookimpl(tryfirst=True)
def pytest_pyfunc_call(pyfuncitem):
    function = pyfuncitem.obj
    if not inspect.iscoroutinefunction(function):
        return None
    names = inspect.signature(function).parameters
    arguments = {name: pyfuncitem.funcargs[name] for name in names if name != "site"}
    folder = pyfuncitem.funcargs["site"]
    asyncio.run(functools.partial(_with_site, function, folder, arguments)())
    return True


@pytest.fixture
def site(tmp_path):
    """Return the folder of the site; test functions get the running site instead."""
    return tmp_path
