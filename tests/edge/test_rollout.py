"""Rollout of policies from site to site: documents, order of sites, the record, judging, runs in a fleet."""

from __future__ import annotations

import json
import random
from pathlib import Path
from typing import Any

import pytest

from embersill.edge.__main__ import main
from embersill.edge.configuration.document import State, apply_change, revision
from embersill.edge.configuration.policy import BUILT_IN_POLICY, RANGES, Policy, differences, read_policy
from embersill.edge.configuration.rollouts import (
    activate_step,
    announce_step,
    apply_request,
    complete_run,
    end_run,
    in_force,
    label,
    resume_after_rest,
    roll_back,
    rollouts_of,
)
from embersill.edge.configuration.stages import Site, steps_of
from embersill.edge.rollout.judging import FALSE_ALARM, MISSED, compared, judged
from embersill.edge.rollout.watch import BOUNDS_S, MAX_STAGES, Seen, Watch, total_by_kind
from embersill.lab.edge.fleet import change, document
from embersill.lab.edge.rollout_simulation import (
    HARMS,
    SITES,
    FaultyGateway,
    RolloutSimulation,
    current_run,
    rollout_request,
    rollout_simulation,
)
from embersill.lab.edge.system_simulation import Gateway

HARMLESS_POLICY: Policy = {"name": "sooner far away", "far_share": 0.2}


def state_of() -> State:
    return {"version": 1, "document": document(1), "taken": []}


@pytest.mark.parametrize(
    "loaded, why",
    [
        ([], "policy: not an object"),
        ({}, "policy: no name"),
        ({"name": ""}, "policy.name"),
        ({"name": "x", "wait_shar": 0.1}, "policy.wait_shar: no such entry"),
        ({"name": "x", "wait_share": "0.1"}, "policy.wait_share: not a number"),
        ({"name": "x", "most_attempts": 0}, "policy.most_attempts: not 1 to 10"),
        ({"name": "x", "budget_share": 1.5}, "policy.budget_share: not 0 to 1"),
    ],
)
def test_an_invalid_policy_is_rejected_with_the_entry_at_fault(loaded: Any, why: str) -> None:
    assert why in read_policy(loaded).error


def test_differences_between_policies_list_the_changed_entries() -> None:
    after = read_policy({"name": "x", "far_share": 0.2, "advice_s": 1}).ok
    assert differences(BUILT_IN_POLICY, after) == {"far_share": (None, 0.2), "advice_s": (None, 1.0)}
    assert not differences(after, {**after, "name": "y"}) and set(RANGES) >= set(
        differences(BUILT_IN_POLICY, after)
    )


def random_sites(chance: random.Random) -> tuple[dict[str, Site], list[str]]:
    kinds = [f"k{n}" for n in range(chance.randint(1, 6))]
    sites: dict[str, Site] = {}
    for number in range(chance.randint(1, 12)):
        asks = {kind: chance.choice((0.0, chance.uniform(0.1, 50.0))) for kind in kinds}
        sites[f"s{number}"] = {"asks": asks, "zones": [f"z{number}"], "core": chance.choice((0, 0, 1, 2))}
    return sites, [kind for kind in kinds if chance.random() < 0.4]


def test_random_plans_have_marked_traffic_last_and_no_step_above_the_share() -> None:
    plan_count = 0
    for seed in range(600):
        chance = random.Random(seed)
        sites, last = random_sites(chance)
        max_share = chance.choice((0.3, 0.5, 1.0))
        plan = steps_of(sites, last, max_share)
        all_sites = list(sites.values())
        total = {kind: sum(site["asks"][kind] for site in all_sites) for kind in all_sites[0]["asks"]}
        if plan.is_error():
            pairs = [(site["asks"][kind], rate) for site in all_sites for kind, rate in total.items()]
            assert any(own > max_share * rate for own, rate in pairs), plan.error
            continue
        plan_count += 1
        order = [name for names in plan.ok for name in names]
        assert sorted(order) == sorted(sites) and len(plan.ok[0]) == 1
        has_marked = [any(sites[name]["asks"].get(kind, 0.0) > 0 for kind in last) for name in order]
        assert has_marked == sorted(has_marked), "a site with marked traffic before one without"
        core = sum(site.get("core", 0) for site in sites.values())
        for names in plan.ok:
            for kind, rate in total.items():
                assert sum(sites[name]["asks"].get(kind, 0.0) for name in names) <= max_share * rate + 1e-9
            members = sum(sites[name].get("core", 0) for name in names)
            assert len(names) == 1 or not members or 2 * members < core
    assert plan_count > 200


@pytest.mark.parametrize(
    "sites, last, max_share, why",
    [
        ({}, [], 0.5, "sites: 1 to"),
        ({"a": {"asks": {}}}, [], 0.5, "neither zones nor gateways"),
        ({"a": {"asks": {"k": 1.0}, "zones": ["z"]}}, ["x"], 1.0, "nobody serves 'x'"),
        ({"a": {"asks": {"k": 1.0}, "zones": ["z"]}}, [], 0.5, "sites.a: it serves 1.00 of 'k'"),
        ({"a": {"asks": {"k": -1.0}, "zones": ["z"]}}, [], 1.0, "negative number"),
        (
            {"a": {"asks": {}, "zones": ["z"]}, "b": {"asks": {}, "zones": ["z"]}},
            [],
            1.0,
            "zone z belongs to a",
        ),
        ({"a": {"asks": {}, "zones": ["z"]}}, [], 0.0, "most_share"),
    ],
)
def test_invalid_sites_are_rejected_with_the_entry_at_fault(
    sites: Any, last: list[str], max_share: float, why: str
) -> None:
    assert why in steps_of(sites, last, max_share).error


def test_a_run_proceeds_step_by_step_and_its_policy_holds_where_it_was_activated() -> None:
    state = apply_request(state_of(), rollout_request(HARMLESS_POLICY)).ok
    assert apply_request(state, rollout_request(HARMLESS_POLICY)).ok is state
    assert apply_request(state, rollout_request({"name": "other", "far_share": 1.0})).error.status == 412
    assert apply_request(state_of(), rollout_request("pause")).error.status == 404
    assert in_force(state, "a", "g") == BUILT_IN_POLICY and label(state)
    assert activate_step(state, 1, 0) is None  # a step must be announced before it is activated
    labels = [label(state)]
    order = current_run(state)["steps"]
    for step, (zone,) in enumerate(order):
        state = announce_step(state, 1, step) or state
        assert announce_step(state, 1, step) is None and announce_step(state, 1, step + 1) is None
        assert in_force(state, zone, "g") == BUILT_IN_POLICY
        labels.append(label(state))
        state = activate_step(state, 1, step) or state
        assert activate_step(state, 1, step) is None and in_force(state, zone, "g") == HARMLESS_POLICY
        labels.append(label(state))
    assert len(set(labels)) == len(labels) and complete_run(state, 2) is None
    state = complete_run(state, 1) or state
    assert rollouts_of(state)["run"] is None and not label(state)
    assert in_force(state, "elsewhere", "g") == HARMLESS_POLICY
    assert (
        apply_request(state, rollout_request(HARMLESS_POLICY)).error.status == 412
    )  # it is in force already
    after_change = apply_change(state, "PUT", {**document(2), "based_on_version": "00000001"}).ok
    assert in_force(after_change, "a", "g") == HARMLESS_POLICY and revision(after_change) > revision(state)


def test_a_harmful_step_is_rolled_back_everywhere_and_retried_once_if_transient() -> None:
    state = apply_request(state_of(), rollout_request(HARMLESS_POLICY)).ok
    first = current_run(state)["steps"][0][0]
    state = activate_step(announce_step(state, 1, 0) or state, 1, 0) or state
    paused = apply_request(state, rollout_request("pause")).ok
    assert in_force(paused, first, "g") == HARMLESS_POLICY and roll_back(paused, 1, 0, "slow", True) is None
    resting = roll_back(state, 1, 0, "slow", True) or state
    assert in_force(resting, first, "g") == BUILT_IN_POLICY and announce_step(resting, 1, 0) is None
    resumed = resume_after_rest(resting, 1, -1) or resting
    assert current_run(resumed)["tries"] == 1 and label(resumed) != label(
        apply_request(state_of(), rollout_request(HARMLESS_POLICY)).ok
    )
    halted = roll_back(state, 1, 0, "order: missing: 7", False) or state
    past = rollouts_of(halted)["past"][-1]
    assert in_force(halted, first, "g") == BUILT_IN_POLICY and past["how"] == "halted" and "7" in past["why"]
    aborted = apply_request(state, rollout_request("abort")).ok
    assert (
        rollouts_of(aborted)["past"][-1]["how"] == "aborted"
        and in_force(aborted, first, "g") == BUILT_IN_POLICY
    )
    for _ in range(40):
        run = current_run(apply_request(aborted, rollout_request(HARMLESS_POLICY)).ok)
        aborted = end_run(aborted, run, "aborted", "")
    assert len(rollouts_of(aborted)["past"]) == 16


def test_counts_are_kept_by_stage_and_list_doubled_and_missing_requests() -> None:
    watch = Watch()
    watch.follow("1")
    for number, seconds in enumerate((0.0, 0.05, 0.2, 900.0)):
        watch.note_admitted(number, "k")
        watch.served(number, "k", seconds)
    watch.note_admitted(7, "k")
    watch.note_admitted(8, "k")
    watch.record_missing({7, 8})
    assert not watch.now["k"].missing
    watch.follow("2")
    watch.record_missing({8})
    watch.doubled(9, "k")
    watch.left(8)
    watch.record_missing(())
    assert watch.now["k"].missing == [7] and watch.now["k"].doubled == [9]
    total = total_by_kind([watch.stages["1"], watch.stages["2"]])["k"]
    assert total.served == 4 and sum(total.took) == 4 and total.took[-1] == 1 and total.missing == [7]
    for number in range(2 * MAX_STAGES):
        watch.follow(f"x{number}")
    assert len(watch.stages) <= MAX_STAGES


def test_the_sequential_test_keeps_its_error_rates() -> None:
    chance = random.Random(1)

    def decide_share(share: float) -> str:
        count = 0
        for sample_size in range(1, 20000):
            count += chance.random() < share
            verdict = compared(count, sample_size, 0.1, 0.0)
            if verdict != "more":
                return verdict
        return "more"

    false_alarms = sum(decide_share(0.1) == "harm" for _ in range(300))
    misses = sum(decide_share(0.26) == "good" for _ in range(300))
    assert false_alarms <= 300 * FALSE_ALARM * 5 and misses <= 300 * MISSED * 2
    # in the second comparison the other gateways see the same share
    assert compared(60, 200, 0.1, 0.0) == "harm" != compared(60, 200, 0.1, 0.2)


def seen_with(served: int, slow: int = 0, **more: Any) -> Seen:
    result = Seen(served=served, **more)
    result.took[8], result.took[20] = served - slow, slow
    return result


def test_missing_or_too_few_observations_are_never_judged_good() -> None:
    before, none = {"k": seen_with(2000, 20)}, dict[str, Seen]()
    assert judged(before, {"k": seen_with(4000, 40)}, none, none).how == "good"
    assert judged(before, {"k": seen_with(50)}, none, none).how == "more"
    assert judged(before, none, none, none).how == "more"
    assert judged(none, {"k": seen_with(4000)}, none, none).how == "more"
    assert judged({"k": seen_with(20)}, {"k": seen_with(4000)}, none, none).how == "more"
    for case in ({"doubled": [5]}, {"missing": [5]}):
        verdict = judged(before, {"k": seen_with(4000, 40, **case)}, none, none)
        assert verdict.how == "harm" and verdict.grave and "5" in verdict.why
    slow = judged(before, {"k": seen_with(1000, 100)}, none, none)
    assert slow.how == "harm" and not slow.grave and f"{BOUNDS_S[8]:.3f}" in slow.why
    assert judged(before, {"k": seen_with(1000, 100)}, before, {"k": seen_with(1000, 100)}).how != "harm"
    refused = judged(before, {"k": seen_with(1000, 10, refused=300)}, none, none)
    assert refused.how == "harm" and "refused" in refused.why


def run_until_ended(fleet: RolloutSimulation, seconds: float = 150.0) -> dict[str, Any]:
    end = fleet.kernel.now + seconds
    while fleet.kernel.now < end and not fleet.last_finished_run():
        fleet.run(0.5)
    fleet.run(1.0)
    return fleet.last_finished_run()


def test_a_harmless_policy_reaches_all_sites_marked_ones_last_and_stays() -> None:
    fleet = rollout_simulation(1)
    fleet.start_rollout(HARMLESS_POLICY)
    order: list[str] = []
    while not fleet.last_finished_run() and fleet.kernel.now < 200.0:
        fleet.run(0.2)
        for machine in fleet.machines:
            if (
                machine.node is not None
                and machine.node.policy[0] == HARMLESS_POLICY
                and machine.zone not in order
            ):
                order.append(machine.zone)
    past = run_until_ended(fleet)
    assert past["how"] == "done" and order[-1] == "c", past  # zone c serves the marked traffic
    for machine in fleet.machines:
        assert isinstance(machine, Gateway) and machine.node is not None
        assert machine.node.policy == (HARMLESS_POLICY, "") and machine.decider.backends.far == 0.2
        assert machine.decider.attempts.rollout_watch is None


@pytest.mark.parametrize("harm", HARMS)
def test_a_harmful_policy_is_halted_at_its_first_site_and_removed(harm: str) -> None:
    fleet = rollout_simulation(2)
    fleet.start_rollout({"name": harm, "far_share": 0.15})
    reached: set[str] = set()
    while not fleet.last_finished_run() and fleet.kernel.now < 250.0:
        fleet.run(0.2)
        reached |= {m.zone for m in fleet.machines if m.node is not None and m.node.policy[0]["name"] == harm}
    past = run_until_ended(fleet)
    assert past["how"] == "halted" and past["step"] <= 0, past
    assert len(reached) == 1 and "c" not in reached
    assert all(m.node is not None and m.node.policy == (BUILT_IN_POLICY, "") for m in fleet.machines)
    since = fleet.kernel.now
    fleet.run(4.0)
    after = [
        request
        for request in fleet.requests
        if request.asked_at >= since and request.asked_at < fleet.kernel.now - 2.5
    ]
    assert after and all(request.end for request in after) and all(request.runs <= 1 for request in after)
    assert {"doubles": "twice", "loses": "missing"}.get(harm, "") in past["why"]


def test_a_backend_crash_during_the_watch_does_not_halt_the_rollout_for_good() -> None:
    fleet = rollout_simulation(3)
    fleet.start_rollout(HARMLESS_POLICY)
    while not any(m.node is not None and m.node.policy[0] == HARMLESS_POLICY for m in fleet.machines):
        fleet.run(0.2)
    lost_backends = [name for n, name in enumerate(fleet.backends) if n % 3 == 0]
    fleet.backends_down.update(lost_backends)
    fleet.run(3.0)
    fleet.backends_down.clear()
    assert run_until_ended(fleet)["how"] == "done"


@pytest.mark.parametrize("seed", range(8))
def test_whatever_fails_a_run_ends_once_and_every_gateway_has_the_same_policy(seed: int) -> None:
    """Holders killed, all killed, the core or a site partitioned, hand-over, a configuration change."""
    fleet = rollout_simulation(seed + 10)
    chance = fleet.kernel.stream("troubles of a rollout")
    policy: Policy = (
        {"name": chance.choice(["slows", "doubles"]), "far_share": 0.15} if seed % 2 else HARMLESS_POLICY
    )
    fleet.start_rollout(policy)
    for _ in range(4):
        fleet.run(chance.uniform(1.0, 6.0))
        holders = [rollouts_of(m.node.state)["holder"] for m in fleet.machines if m.node is not None]
        holder = fleet.by_name.get(max(holders, default=""), fleet.machines[0])
        trouble = chance.choice(("holder", "all", "cut core", "cut site", "leave", "config"))
        if trouble == "holder":
            holder.kill()
        elif trouble == "all":
            for machine in fleet.machines:
                machine.kill()
        elif trouble == "cut core":
            fleet.cut({holder.name})
        elif trouble == "cut site":
            fleet.cut({m.name for m in fleet.machines if m.zone == "b" and not m.core})
        elif trouble == "leave" and holder.node is not None:
            for duty in holder.node.duties:
                duty.hand_over()
            holder.carry_out()
        elif trouble == "config":
            base = max(m.node.state["version"] for m in fleet.machines if m.node is not None)
            body = {**change(base + 1, base, 2), "tenants": fleet.tenants}
            fleet.machines[-1].call("PUT", body)
        fleet.run(chance.uniform(0.5, 3.0))
        for machine in fleet.machines:
            if machine.node is None:
                machine.start()
        fleet.heal()
    past = run_until_ended(fleet, 400.0)
    fleet.run(3.0)
    assert past and past["how"] in (("halted",) if seed % 2 else ("done", "halted")), past
    if policy["name"] == "doubles":
        assert past["step"] <= 0
    states = {str(rollouts_of(m.node.state)["past"]) for m in fleet.machines if m.node is not None}
    assert len(states) == 1
    expected = policy if past["how"] == "done" else BUILT_IN_POLICY
    assert all(m.node is not None and m.node.policy == (expected, "") for m in fleet.machines)
    assert isinstance(fleet.machines[0], FaultyGateway)


def test_commands_check_a_policy_and_plan_its_rollout(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    policy, sites = tmp_path / "policy.json", tmp_path / "sites.json"
    policy.write_text(json.dumps(HARMLESS_POLICY))
    sites.write_text(json.dumps({"sites": SITES, "last": ["dispatch"], "most_share": 1.0}))
    assert main(["check", "policy", str(policy)]) == 0
    assert json.loads(capsys.readouterr().out)["changes"] == {"far_share": [None, 0.2]}
    assert main(["rollout", "plan", str(sites)]) == 0
    assert json.loads(capsys.readouterr().out) == {"steps": [["a"], ["b"], ["c"]]}
    for path, text, arguments, why in (
        (policy, '{"name": "x", "far": 1}', ["check", "policy", str(policy)], "policy.far: no such"),
        (policy, "[]", ["check", "policy", str(policy)], "not an object"),
        (sites, '{"sites": {"a": {"zones": ["a"]}}}', ["rollout", "plan", str(sites)], "a: no asks"),
        (sites, '{"sites": {}}', ["rollout", "plan", str(sites)], "sites: 1 to"),
        (sites, "{", ["rollout", "plan", str(sites)], "sites.json"),
    ):
        path.write_text(text)
        assert main(arguments) == 1 and why in capsys.readouterr().err
