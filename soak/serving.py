"""HTTP servers on loopback, each on a port that the system chooses."""

from aiohttp import web

# Handlers that wait when the soak ends are given up after this time.
SHUTDOWN_S = 0.1


def hang_up(request):
    """Ends the connection without an answer, if the caller has not ended it before."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


async def serve(app):
    """The runner, which has to be kept and cleaned up, and the address."""
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0, shutdown_timeout=SHUTDOWN_S)
    await site.start()
    return runner, "127.0.0.1:%d" % runner.addresses[0][1]
