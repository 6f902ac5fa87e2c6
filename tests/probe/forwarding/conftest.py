"""Runs a coroutine test function with a fresh site, and takes the site down."""

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
        tasks = [one for one in asyncio.all_tasks() if one is not asyncio.current_task()]
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
    """The folder of the site; the test function itself gets the running site."""
    return tmp_path
