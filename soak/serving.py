"""HTTP servers on loopback, each on a port that the operating system assigns."""

from aiohttp import web

# Time that waiting handlers get at the end of the soak before they are cancelled.
SHUTDOWN_TIMEOUT_S = 0.1


def abort_connection(request):
    """Aborts the connection without a response, unless the client has closed it."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


async def serve(app):
    """Starts a server; returns its runner, which the caller must clean up, and its address."""
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
    await site.start()
    return runner, "127.0.0.1:%d" % runner.addresses[0][1]
