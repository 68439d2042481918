"""Validation, time of effect, version order, signatures, rollout and probation of versions.  No I/O."""

from __future__ import annotations

import copy
import math
import tomllib
from typing import Any

import hypothesis.strategies as st
import pytest
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from hypothesis import given, seed
from hypothesis import settings as hypothesis_settings

from capershelf import interface as api
from capershelf.stream import document as doc
from capershelf.stream import standing, takeover
from capershelf.stream.fields import EffectTime, changes, keep_until_start
from capershelf.stream.ledger import VersionHistory, VersionNumber
from capershelf.stream.order import MAX_BACKOFF_MS, ServiceFailover
from capershelf.stream.probation import OutcomeWindow, Probation, ProbationTerms
from capershelf.stream.rollout import Plan, Rollout
from capershelf.stream.signing import Key, KeyRing, Signature, sign
from tests.peers import OPERATOR
from tests.rig import Rig

OWN = tomllib.loads(OPERATOR.read_text())
CONTRACT = OWN["settings"]["contract"]


def changed(path: str, value: Any) -> dict[str, Any]:
    """The operator's settings with one field changed, or removed for DROP."""
    table = copy.deepcopy({"settings": OWN["settings"]})
    at: Any = table
    *way, last = [int(word) if word.isdigit() else word for word in path.split("/")]
    for word in way:
        at = at[word]
    at[last] = value
    return table


TENANTS = [{"name": "a", "quota-per-s": 1, "share": 0.5}, {"name": "b", "quota-per-s": 1, "share": 0.4}]


@pytest.mark.parametrize(
    ("path", "value", "code", "where"),
    [
        ("settings/family-info/release", 199.0, "release-gap", "settings.family-info.release"),
        ("settings/bounds/max-attempts", 7, "attempts", "settings.bounds.max-attempts"),
        ("settings/bounds/may-duplicate", True, "second-copies", "settings.bounds.may-duplicate"),
        ("settings/contract/drain-grace", 2001, "drain-grace", "settings.contract.drain-grace"),
        ("settings/contract/tip-multiple", 3.1, "fall-multiple", "settings.contract.tip-multiple"),
        ("settings/contract/fall", 1001, "fall-time", "settings.contract.fall"),
        ("settings/contract/ramp-time", 13_999, "ramp", "settings.contract.ramp-time"),
        ("settings/contract/cold-from", 0.31, "cold-share", "settings.contract.cold-from"),
        ("settings/categories/0/deadline", 8999, "deadline-open", "settings.categories[0].deadline"),
        ("settings/categories/0/name", "other", "class-open", "settings.categories"),
        ("settings/categories/0/name", "slot-confirm", "class-name", "settings.categories[1].name"),
        ("settings/categories/0/aim", 9001, "aim", "settings.categories[0].aim"),
        ("settings/categories", [], "class-open", "settings.categories"),
        ("settings/tenants", TENANTS, "quotas", "settings.tenants"),
        ("settings/tenants", [{"name": "a", "share": 1}, {"name": "b"}], "quotas", "settings.tenants"),
        ("settings/tenants", [{"name": "a"}, {"name": "a"}], "tenant-name", "settings.tenants[1].name"),
        ("settings/bounds/max-attemps", 5, "unknown-field", "settings.bounds.max-attemps"),
        ("settings/bounds/max-attempts", "5", "not-a-number", "settings.bounds.max-attempts"),
        ("settings/bounds/max-attempts", True, "not-a-number", "settings.bounds.max-attempts"),
        ("settings/bounds/max-retry-after", math.nan, "not-a-number", "settings.bounds.max-retry-after"),
        ("settings/bounds/cancel", 1, "not-a-flag", "settings.bounds.cancel"),
        ("settings/over-share-worth", 1.5, "out-of-range", "settings.over-share-worth"),
        ("settings/contract", 5, "not-a-table", "settings.contract"),
        ("settings/categories", {}, "not-a-list", "settings.categories"),
        ("settings/categories/0", 5, "not-a-table", "settings.categories[0]"),
    ],
)
def test_each_rule_has_its_code_and_names_its_field(path: str, value: Any, code: str, where: str) -> None:
    violations = standing.check(changed(path, value), CONTRACT, {"slot-lookup": 9000.0})
    assert (code, where) in [(one.code, one.path) for one in violations]


def test_the_operators_own_file_and_what_is_more_careful_pass() -> None:
    assert standing.check(OWN, CONTRACT, {"slot-lookup": 9000.0}) == []
    for path, value in (
        ("settings/contract/tip-multiple", 2.0),
        ("settings/contract/ramp-time", 20_000),
        ("settings/family-info/release", 250),
        ("settings/categories/0/deadline", 9500),
    ):
        assert standing.check(changed(path, value), CONTRACT, {"slot-lookup": 9000.0}) == []
    assert standing.check(changed("settings/categories/0/deadline", 3000), CONTRACT, {}) == []
    assert standing.check([])[0].code == "not-a-table"


JSON = st.recursive(
    st.none() | st.booleans() | st.integers(-5, 5) | st.floats(allow_nan=True) | st.text(max_size=4),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(["settings", "bounds", "contract", "categories", "tenants", "name", "aim", "x"]),
            inner,
            max_size=4,
        )
    ),
    max_leaves=12,
)


# Written out: hypothesis derives the seed from the test's source text otherwise, so a rename changes it.
@seed(0x37446C6F35216B0686E8523FF8663F14B9D8DCBA5A8751ED5FFA1ACAED87BBA6DBC8D77D8FA0D06108D7086F7DE7E814)
@hypothesis_settings(derandomize=True, deadline=None, max_examples=400, database=None)
@given(JSON)
def test_no_document_of_any_shape_makes_the_checker_or_the_planning_raise(found: Any) -> None:
    violations = standing.check(found, CONTRACT, {"slot-lookup": 9000.0})
    if isinstance(found, dict) and not violations:
        takeover.plan(OWN, OWN, found, {}, False, {})


def test_what_only_a_start_can_change_waits_and_is_noted() -> None:
    wanted = {"planners": 2, "listen": "127.0.0.1:9"} | changed("settings/bounds/max-attempts", 4)
    found = takeover.plan(OWN, OWN, wanted, {}, False, {})
    assert isinstance(found, takeover.ApplicablePlan)
    assert found.notes == ("listen", "planners")
    assert (found.config.planners, found.config.settings.max_attempts) == (1, 4)
    refused = takeover.plan(OWN, OWN, wanted, {}, True, {})
    assert isinstance(refused, standing.RuleViolation)
    assert (refused.code, refused.path) == ("next-start", "listen")
    for own in takeover.LOCAL_KEYS:
        refused = takeover.plan(OWN, OWN, {own: OWN.get(own, {})}, {}, False, {})
        assert isinstance(refused, standing.RuleViolation)
    refused = takeover.plan(OWN, OWN, {"settings": {}}, {}, False, {})
    assert isinstance(refused, standing.RuleViolation)
    assert refused.code == "senseless"


def test_every_change_has_its_time() -> None:
    new = copy.deepcopy(OWN)
    new["settings"]["categories"][0]["aim"] = 1.0
    new["settings"]["tenants"] = TENANTS
    new["settings"]["group-size"] = 9
    new["eureka"]["url"] = "http://x"
    new["eureka"]["app"] = "Y"
    assert {one.path: one.when for one in changes(OWN, new)} == {
        "settings.categories[0].aim": EffectTime.NEW_CALLS,
        "settings.tenants": EffectTime.NOW,
        "settings.group-size": EffectTime.NEXT_START,
        "eureka.url": EffectTime.NOW,
        "eureka.app": EffectTime.NEXT_START,
    }
    kept = keep_until_start(OWN, new)
    assert kept["settings"]["group-size"] == 1
    assert kept["settings"]["categories"][0]["aim"] == 1.0
    assert kept["eureka"] == OWN["eureka"] | {"url": "http://x"}
    assert changes(OWN, keep_until_start(OWN, OWN)) == []


PLAIN = st.recursive(
    st.booleans() | st.integers(-9, 9) | st.text(max_size=3),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=2), inner, max_size=4),
    max_leaves=10,
)
DOCUMENTS = st.dictionaries(st.text(max_size=2), PLAIN, max_size=5)


@seed(0x2FED03A6C6B6C2B7C59D422B4FABA8549E12A84AB67C752A75408F9FE2027B3D34197D833904C7F3A8CDBF270DB90819)
@hypothesis_settings(derandomize=True, deadline=None, max_examples=300, database=None)
@given(DOCUMENTS, DOCUMENTS)
def test_a_delta_makes_the_target_of_its_base(base: dict[str, Any], target: dict[str, Any]) -> None:
    before = copy.deepcopy(base)
    made = doc.apply(base, doc.read(doc.canonical(doc.delta(base, target))))
    assert doc.canonical(made) == doc.canonical(target)
    assert base == before


@pytest.mark.parametrize("data", [b"", b"[]", b"{", b'{"a":NaN}', b"\xff", b"[" * 100_000, b'{"a":' * 5000])
def test_bytes_that_are_no_document_are_refused(data: bytes) -> None:
    with pytest.raises(doc.InvalidDocumentError):
        doc.read(data)


def test_the_history_refuses_older_numbers_and_both_of_two_conflicting_versions() -> None:
    history = VersionHistory(VersionNumber(2, 5), "five")
    assert history.evaluate_offer(VersionNumber(2, 5), "five", "a").in_force
    assert history.evaluate_offer(VersionNumber(2, 5), "other", "a").code == "disagree"
    assert history.evaluate_offer(VersionNumber(2, 4), "four", "a").code == "old-version"
    assert history.evaluate_offer(VersionNumber(1, 9), "nine", "a").code == "old-epoch"
    assert history.evaluate_offer(VersionNumber(3, 1), "one", "a").fetch  # restarted under a new epoch
    assert history.evaluate_offer(VersionNumber(2, 6), "six", "a").fetch
    verdict = history.evaluate_offer(VersionNumber(2, 6), "SIX", "b")
    assert verdict.code == "disagree"
    assert "a and b" in verdict.text
    assert history.evaluate_offer(VersionNumber(2, 6), "six", "a").code == "disagree"
    history.mark_refused(VersionNumber(2, 7), "seven", "release-gap", "too short")
    assert history.evaluate_offer(VersionNumber(2, 7), "seven", "a").code == "release-gap"
    history.mark_accepted(VersionNumber(2, 8), "eight")
    history.roll_back(VersionNumber(2, 8), "eight", VersionNumber(2, 5), "five", "harm")
    assert history.evaluate_offer(VersionNumber(2, 8), "eight", "a").code == "put-back"
    assert history.evaluate_offer(VersionNumber(2, 9), "nine", "a").fetch


def test_services_are_tried_in_turn_and_then_ever_more_seldom() -> None:
    order, waits, seen = ServiceFailover(("a", "b"), 3), [], []
    for _ in range(30):
        service, at_ms = order.next(0.0)
        seen.append(service)
        waits.append(at_ms)
        order.record_failure()
    assert seen[:4] == ["a", "b", "a", "b"]
    assert waits[0] == waits[1] == waits[3] == 0.0
    assert 125.0 <= waits[2] <= 250.0
    assert max(waits) <= MAX_BACKOFF_MS
    assert waits[28] >= MAX_BACKOFF_MS / 2
    order.record_success()
    assert order.next(0.0)[1] == 0.0
    again = ServiceFailover(("a", "b"), 3)
    for _ in range(2):
        again.record_failure()
    assert again.next(0.0)[1] == waits[2]


def test_signatures_bind_number_text_and_time_and_keys_can_be_taken_away() -> None:
    private, other = Ed25519PrivateKey.generate(), Ed25519PrivateKey.generate()
    keys = [
        Key("k", private.public_key()),
        Key("late", private.public_key(), until_ms=50.0),
        Key("gone", private.public_key(), revoked=True),
    ]
    ring = KeyRing(tuple(keys))
    number = VersionNumber(1, 7)
    good = sign(private, "k", number, "digest", 100.0)

    def code(
        signature: Signature, now_ms: float = 60.0, at: VersionNumber = number, text: str = "digest"
    ) -> str:
        return ring.fault(at, text, signature, now_ms)[0]

    assert code(good) == ""
    assert code(good, now_ms=101.0) == "expired"
    assert code(good, at=VersionNumber(1, 8)) == code(good, text="other") == "bad-signature"
    assert code(Signature("k", 200.0, good.value)) == "bad-signature"  # the expiry is signed too
    assert code(Signature("k", 100.0, "zz")) == "bad-signature"
    assert code(Signature()) == "unsigned"
    assert code(sign(other, "k", number, "digest", 100.0)) == "bad-signature"
    assert code(sign(private, "who", number, "digest", 100.0)) == "unknown-key"
    assert code(sign(private, "late", number, "digest", 100.0)) == "expired-key"
    assert code(sign(private, "gone", number, "digest", 100.0)) == "revoked-key"


def test_a_roll_out_goes_by_stages_and_halts_at_the_first_refusal() -> None:
    proxies = {f"p{n}" for n in range(10)}
    rollout = Rollout(VersionNumber(1, 2), Plan((0.1, 0.5, 1.0), 100.0))
    first = rollout.chosen(proxies)
    assert len(first) == 1
    assert not rollout.advance(proxies, proxies, 0.0)
    rollout.ack(next(iter(first)), 10.0)
    assert not rollout.advance(proxies, proxies, 109.0)
    assert rollout.advance(proxies, proxies, 110.0)
    second = rollout.chosen(proxies)
    assert first < second
    assert len(second) == 5
    bad = next(iter(second - first))
    rollout.refuse(bad, "release-gap", "too short")
    for proxy in second - {bad}:
        rollout.ack(proxy, 120.0)
    assert not rollout.advance(proxies, proxies, 10_000.0)
    assert [rollout.should_offer(proxy, second) for proxy in sorted(second)].count(True) == 4
    assert "halted at stage 2" in rollout.state
    for stages in ((), (0.5,), (0.5, 0.1, 1.0), (0.0, 1.0)):
        with pytest.raises(ValueError, match="stages"):
            Plan(stages)


def test_a_probation_puts_back_what_refuses_far_more_and_passes_the_rest() -> None:
    measure = OutcomeWindow(1000.0)
    for at in range(0, 1000, 10):
        measure.record(float(at), 1, at % 100 == 0)
    given, refused = measure.since(-100.0)
    assert (given, refused) == (100, 10)
    probation = Probation(ProbationTerms(1000.0, 0.2, 50), 1000.0, (given, refused))
    assert probation.verdict(1500.0, (49, 49)) == ""
    assert probation.verdict(1500.0, (50, 15)) == ""
    assert "32% of 50" in probation.verdict(1500.0, (50, 16))
    assert probation.verdict(2000.0, (50, 15)) == "passed"


def test_the_module_goes_by_new_settings_and_keeps_what_it_has_learned() -> None:
    rig = Rig(2)
    rig.call(1)
    rig.succeed(1, wait_ms=40.0)
    rig.call(2)
    before = rig.controller.calls[2].call_class
    kinds = (api.CallClass("usual", aim_ms=700, deadline_ms=900), api.CallClass("new", 700, 900, worth=2.0))
    new = api.Settings(
        **{name: getattr(rig.controller.settings, name) for name in api.Settings.__dataclass_fields__}
        | {"classes": kinds, "max_attempts": 3, "tenants": (api.Tenant("t", 5.0),)}
    )
    rig.feed(api.SettingsChanged(new))
    assert rig.controller.calls[2].call_class is before
    assert rig.controller.gates["s0"].base_latency_ms == 40.0
    assert rig.controller.wait_limit_ms == pytest.approx(0.35 * 700)
    rig.call(3, call_class="new", tenant="t")
    assert rig.controller.calls[3].call_class.worth == 2.0
    with pytest.raises(ValueError, match="no known class"):
        rig.call(4, call_class="dear")
