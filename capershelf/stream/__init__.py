"""Streamed configuration: numbered versions from a control service, each acknowledged or refused.

Pure decisions: `standing` (rules that no version may break), `fields` (what holds when), `ledger` (which
version may follow which), `signing` (who may say so), `rollout` (which proxies get it when), `probation`
(what is put back).  State without I/O: `document` (bytes, digests, deltas), `protocol` (both ends).  I/O:
`follower` (a proxy's side), `service` (the control service).  Nothing here is imported unless an
operator's file asks for it.
"""
