"""Who is there: proxies that may coordinate find each other and notice who is gone. Decisions without I/O, and a
datagram transport on gevent. Nothing in call_controller.py leans on it."""
