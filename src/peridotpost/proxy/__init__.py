"""Request path: caller, ingress, guard of the target's host, target.

HTTP/1.1 is parsed by a C parser; frames between daemons are msgpack.  A
request that succeeds creates no task, timer or log line of its own.
"""
