"""Sockets that run on gevent: bounded stream connections, and the UDP and TCP sockets of a SIP element."""
