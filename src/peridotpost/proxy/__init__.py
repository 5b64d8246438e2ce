"""The path of a request: caller, ingress, guard of the target's host, target.

HTTP/1.1 is read by a C parser, frames between daemons are msgpack; no task,
timer or log line is spent on a request that ends well.
"""
