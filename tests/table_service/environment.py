import logging
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))


def before_all(context):
    logging.disable(logging.WARNING)
    # Name resolution needs the threads of a started reactor.
    from twisted.internet import reactor

    reactor.startRunning(installSignalHandlers=False)
    context.add_cleanup(reactor.getThreadPool().stop)
