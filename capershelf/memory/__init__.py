"""Learning that survives restart: what was known of each booking server, kept in a folder, aged on
reading.

Pure decisions: `trust` (whose knowledge still holds), `ageing` (how much of it), `schedule` (when to
write). State and I/O: `records` and `format` (the bytes), `disk`, `generations` and `store` (never half
written), `keeper` (on a planner's thread), `writer` (the one thread that touches the disk).
`memory.Memory` is the door for a node. Nothing here is imported unless an operator's file has a [memory]
table.
"""
