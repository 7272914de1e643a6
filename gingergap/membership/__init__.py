"""Group membership and failure detection among proxies that coordinate: a protocol without I/O (swim.py), the encoding of its
datagrams (codec.py) and a gevent transport (transport.py). Call routing does not depend on it."""
