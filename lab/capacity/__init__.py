"""Scale tests: what each role of a deployment costs at growing sizes (docs/CAPACITY.md).

Real processes of the program are measured against hollow peers: many booking servers, proxies, watchers or
followers in one process, which speak the real messages over real sockets on loopback.
"""
