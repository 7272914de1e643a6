"""Datagram and stream sockets that carry SIP, in gevent greenlets; used by the edge and by the stand-ins."""
