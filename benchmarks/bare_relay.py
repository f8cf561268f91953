"""Relay that forwards every request: the baseline of the entry process."""

import argparse

from twisted.internet import protocol
from twisted.internet import reactor
from twisted.web import client
from twisted.web import resource
from twisted.web import server


class ResponseCopier(protocol.Protocol):
    def __init__(self, request):
        self.request = request

    def dataReceived(self, data):  # noqa: N802
        self.request.write(data)

    def connectionLost(self, reason=None):  # noqa: N802
        self.request.finish()


class Relay(resource.Resource):
    isLeaf = True

    def __init__(self, target):
        super().__init__()
        pool = client.HTTPConnectionPool(reactor)
        pool.maxPersistentPerHost = 64
        self.agent = client.Agent(reactor, pool=pool)
        self.target = target

    def render(self, request):
        response_wait = self.agent.request(
            request.method,
            self.target + request.path,
            request.requestHeaders.copy(),
        )
        response_wait.addCallback(self.start_response, request)
        return server.NOT_DONE_YET

    def start_response(self, response, request):
        request.setResponseCode(response.code)
        length = str(response.length).encode()
        request.setHeader(b"Content-Length", length)
        response.deliverBody(ResponseCopier(request))


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--target", required=True)
    options = parser.parse_args()
    site = server.Site(Relay(options.target.encode()))
    site.displayTracebacks = False
    reactor.listenTCP(options.port, site, interface="127.0.0.1")
    reactor.run()


if __name__ == "__main__":
    main()
