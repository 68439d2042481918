"""Experiments on a small model of what is balanced, in virtual time.  Never imported by `capershelf`.

`engine` is the clock, `world` the booking servers and callers, `proxy` a real Controller with its host
and `rules` an independent checker.  One seed gives one result.
"""
