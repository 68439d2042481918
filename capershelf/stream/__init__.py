"""Streamed configuration: numbered versions from a control service, each acknowledged or refused.

Decisions without I/O: `standing` (validation rules), `fields` (when a change takes effect), `ledger` (which
version may replace which), `signing` (who may publish), `rollout` (which proxies get a version when),
`probation` (when a version is rolled back).  State without I/O: `document` (bytes, digests, deltas),
`protocol` (both ends).  I/O: `follower` (the proxy's side), `service` (the control service).  Nothing here is
imported unless an operator's file enables it.
"""
