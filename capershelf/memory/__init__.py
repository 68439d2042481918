"""Persistent knowledge of the booking servers: stored in a folder and aged when it is restored.

Pure decisions: `trust` (which records are still valid), `ageing` (their weight), `schedule` (when to write).
State and I/O: `records` and `format` (the bytes), `disk`, `generations` and `store` (atomic writes),
`planner_memory` (on a planner's thread), `writer` (the only thread that accesses the disk).  A node uses
`memory.Memory`.  Nothing here is imported unless the configuration has a [memory] table.
"""
