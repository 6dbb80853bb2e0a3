"""Policies on their way down the sites: documents, order of sites, the record, judging, runs in a town."""

from __future__ import annotations

import json
import random
from pathlib import Path
from typing import Any

import pytest

from embersill.edge.__main__ import main
from embersill.edge.configuration.document import State, apply_change, revision
from embersill.edge.rollout.judging import FALSE_ALARM, MISSED, compared, judged
from embersill.edge.configuration.policy import BUILT_IN_POLICY, RANGES, Policy, differences, read_policy
from embersill.edge.configuration.rollouts import (
    activate_step,
    end_run,
    roll_back,
    in_force,
    label,
    apply_request,
    complete_run,
    resume_after_rest,
    rollouts_of,
    announce_step,
)
from embersill.edge.configuration.stages import Site, steps_of
from embersill.edge.rollout.watch import BOUNDS_S, MAX_STAGES, Seen, Watch, total_by_kind
from embersill.lab.edge.fleet import change, document
from embersill.lab.edge.rolling import (
    HARMS,
    SITES,
    FaultyGateway,
    RolloutSimulation,
    current_run,
    rollout_request,
    rollout_simulation,
)
from embersill.lab.edge.town import Gateway

GOOD: Policy = {"name": "sooner far away", "far_share": 0.2}


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
def test_a_policy_that_makes_no_sense_is_refused_with_its_place(loaded: Any, why: str) -> None:
    assert why in read_policy(loaded).error


def test_a_policy_says_what_it_changes() -> None:
    after = read_policy({"name": "x", "far_share": 0.2, "advice_s": 1}).ok
    assert differences(BUILT_IN_POLICY, after) == {"far_share": (None, 0.2), "advice_s": (None, 1.0)}
    assert not differences(after, {**after, "name": "y"}) and set(RANGES) >= set(
        differences(BUILT_IN_POLICY, after)
    )


def drawn_sites(chance: random.Random) -> tuple[dict[str, Site], list[str]]:
    kinds = [f"k{n}" for n in range(chance.randint(1, 6))]
    sites: dict[str, Site] = {}
    for number in range(chance.randint(1, 12)):
        asks = {kind: chance.choice((0.0, chance.uniform(0.1, 50.0))) for kind in kinds}
        sites[f"s{number}"] = {"asks": asks, "zones": [f"z{number}"], "core": chance.choice((0, 0, 1, 2))}
    return sites, [kind for kind in kinds if chance.random() < 0.4]


def test_marked_traffic_is_last_and_no_step_holds_too_much_in_drawn_plans() -> None:
    made = 0
    for seed in range(600):
        chance = random.Random(seed)
        sites, last = drawn_sites(chance)
        most = chance.choice((0.3, 0.5, 1.0))
        plan = steps_of(sites, last, most)
        every = list(sites.values())
        whole = {kind: sum(site["asks"][kind] for site in every) for kind in every[0]["asks"]}
        if plan.is_error():
            pairs = [(site["asks"][kind], rate) for site in every for kind, rate in whole.items()]
            assert any(own > most * rate for own, rate in pairs), plan.error
            continue
        made += 1
        order = [name for names in plan.ok for name in names]
        assert sorted(order) == sorted(sites) and len(plan.ok[0]) == 1
        marked = [any(sites[name]["asks"].get(kind, 0.0) > 0 for kind in last) for name in order]
        assert marked == sorted(marked), "a site with marked traffic before one without"
        core = sum(site.get("core", 0) for site in sites.values())
        for names in plan.ok:
            for kind, rate in whole.items():
                assert sum(sites[name]["asks"].get(kind, 0.0) for name in names) <= most * rate + 1e-9
            members = sum(sites[name].get("core", 0) for name in names)
            assert len(names) == 1 or not members or 2 * members < core
    assert made > 200


@pytest.mark.parametrize(
    "sites, last, most, why",
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
def test_sites_that_make_no_sense_are_refused_with_their_place(
    sites: Any, last: list[str], most: float, why: str
) -> None:
    assert why in steps_of(sites, last, most).error


def test_a_run_goes_step_by_step_and_its_policy_holds_where_it_was_bound() -> None:
    state = apply_request(state_of(), rollout_request(GOOD)).ok
    assert apply_request(state, rollout_request(GOOD)).ok is state
    assert apply_request(state, rollout_request({"name": "other", "far_share": 1.0})).error.status == 412
    assert apply_request(state_of(), rollout_request("pause")).error.status == 404
    assert in_force(state, "a", "g") == BUILT_IN_POLICY and label(state)
    assert activate_step(state, 1, 0) is None  # nothing binds that was not told
    seen = [label(state)]
    order = current_run(state)["steps"]
    for step, (zone,) in enumerate(order):
        state = announce_step(state, 1, step) or state
        assert announce_step(state, 1, step) is None and announce_step(state, 1, step + 1) is None
        assert in_force(state, zone, "g") == BUILT_IN_POLICY
        seen.append(label(state))
        state = activate_step(state, 1, step) or state
        assert activate_step(state, 1, step) is None and in_force(state, zone, "g") == GOOD
        seen.append(label(state))
    assert len(set(seen)) == len(seen) and complete_run(state, 2) is None
    state = complete_run(state, 1) or state
    assert rollouts_of(state)["run"] is None and not label(state)
    assert in_force(state, "elsewhere", "g") == GOOD
    assert apply_request(state, rollout_request(GOOD)).error.status == 412  # it is in force already
    kept = apply_change(state, "PUT", {**document(2), "based_on_version": "00000001"}).ok
    assert in_force(kept, "a", "g") == GOOD and revision(kept) > revision(state)


def test_a_step_that_harms_goes_back_everywhere_and_is_tried_again_once_if_that_may_help() -> None:
    state = apply_request(state_of(), rollout_request(GOOD)).ok
    first = current_run(state)["steps"][0][0]
    state = activate_step(announce_step(state, 1, 0) or state, 1, 0) or state
    paused = apply_request(state, rollout_request("pause")).ok
    assert in_force(paused, first, "g") == GOOD and roll_back(paused, 1, 0, "slow", True) is None
    rests = roll_back(state, 1, 0, "slow", True) or state
    assert in_force(rests, first, "g") == BUILT_IN_POLICY and announce_step(rests, 1, 0) is None
    again = resume_after_rest(rests, 1, -1) or rests
    assert current_run(again)["tries"] == 1 and label(again) != label(
        apply_request(state_of(), rollout_request(GOOD)).ok
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
        run = current_run(apply_request(aborted, rollout_request(GOOD)).ok)
        aborted = end_run(aborted, run, "aborted", "")
    assert len(rollouts_of(aborted)["past"]) == 16


def test_counts_follow_stretches_and_name_what_is_doubled_or_missing() -> None:
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
    whole = total_by_kind([watch.stages["1"], watch.stages["2"]])["k"]
    assert whole.served == 4 and sum(whole.took) == 4 and whole.took[-1] == 1 and whole.missing == [7]
    for number in range(2 * MAX_STAGES):
        watch.follow(f"x{number}")
    assert len(watch.stages) <= MAX_STAGES


def test_the_sequential_test_keeps_its_error_rates() -> None:
    chance = random.Random(1)

    def decided(part: float) -> str:
        count = 0
        for of in range(1, 20000):
            count += chance.random() < part
            found = compared(count, of, 0.1, 0.0)
            if found != "more":
                return found
        return "more"

    harms = sum(decided(0.1) == "harm" for _ in range(300))
    sleeps = sum(decided(0.26) == "good" for _ in range(300))
    assert harms <= 300 * FALSE_ALARM * 5 and sleeps <= 300 * MISSED * 2
    assert compared(60, 200, 0.1, 0.0) == "harm" != compared(60, 200, 0.1, 0.2)  # others saw the same


def seen_of(served: int, slow: int = 0, **more: Any) -> Seen:
    made = Seen(served=served, **more)
    made.took[8], made.took[20] = served - slow, slow
    return made


def test_what_is_missing_or_too_little_is_never_taken_as_good() -> None:
    before, none = {"k": seen_of(2000, 20)}, dict[str, Seen]()
    assert judged(before, {"k": seen_of(4000, 40)}, none, none).how == "good"
    assert judged(before, {"k": seen_of(50)}, none, none).how == "more"
    assert judged(before, none, none, none).how == "more"
    assert judged(none, {"k": seen_of(4000)}, none, none).how == "more"
    assert judged({"k": seen_of(20)}, {"k": seen_of(4000)}, none, none).how == "more"
    for case in ({"doubled": [5]}, {"missing": [5]}):
        found = judged(before, {"k": seen_of(4000, 40, **case)}, none, none)
        assert found.how == "harm" and found.grave and "5" in found.why
    slow = judged(before, {"k": seen_of(1000, 100)}, none, none)
    assert slow.how == "harm" and not slow.grave and f"{BOUNDS_S[8]:.3f}" in slow.why
    assert judged(before, {"k": seen_of(1000, 100)}, before, {"k": seen_of(1000, 100)}).how != "harm"
    refused = judged(before, {"k": seen_of(1000, 10, refused=300)}, none, none)
    assert refused.how == "harm" and "refused" in refused.why


def until_over(town: RolloutSimulation, seconds: float = 150.0) -> dict[str, Any]:
    end = town.kernel.now + seconds
    while town.kernel.now < end and not town.last_finished_run():
        town.run(0.5)
    town.run(1.0)
    return town.last_finished_run()


def test_a_good_policy_comes_to_all_sites_marked_ones_last_and_is_kept() -> None:
    town = rollout_simulation(1)
    town.start_rollout(GOOD)
    order: list[str] = []
    while not town.last_finished_run() and town.kernel.now < 200.0:
        town.run(0.2)
        for machine in town.machines:
            if machine.node is not None and machine.node.policy[0] == GOOD and machine.zone not in order:
                order.append(machine.zone)
    past = until_over(town)
    assert past["how"] == "done" and order[-1] == "c", past  # zone c serves what is marked
    for machine in town.machines:
        assert isinstance(machine, Gateway) and machine.node is not None
        assert machine.node.policy == (GOOD, "") and machine.decider.backends.far == 0.2
        assert machine.decider.attempts.rollout_watch is None


@pytest.mark.parametrize("harm", HARMS)
def test_a_bad_policy_stops_on_its_first_sites_and_nothing_of_it_remains(harm: str) -> None:
    town = rollout_simulation(2)
    town.start_rollout({"name": harm, "far_share": 0.15})
    reached: set[str] = set()
    while not town.last_finished_run() and town.kernel.now < 250.0:
        town.run(0.2)
        reached |= {m.zone for m in town.machines if m.node is not None and m.node.policy[0]["name"] == harm}
    past = until_over(town)
    assert past["how"] == "halted" and past["step"] <= 0, past
    assert len(reached) == 1 and "c" not in reached
    assert all(m.node is not None and m.node.policy == (BUILT_IN_POLICY, "") for m in town.machines)
    since = town.kernel.now
    town.run(4.0)
    after = [one for one in town.requests if one.asked_at >= since and one.asked_at < town.kernel.now - 2.5]
    assert after and all(one.end for one in after) and all(one.runs <= 1 for one in after)
    assert {"doubles": "twice", "loses": "missing"}.get(harm, "") in past["why"]


def test_a_backend_crash_in_the_watch_neither_halts_for_good_nor_passes_blindly() -> None:
    town = rollout_simulation(3)
    town.start_rollout(GOOD)
    while not any(m.node is not None and m.node.policy[0] == GOOD for m in town.machines):
        town.run(0.2)
    lost = [name for n, name in enumerate(town.backends) if n % 3 == 0]
    town.backends_down.update(lost)
    town.run(3.0)
    town.backends_down.clear()
    assert until_over(town)["how"] == "done"


@pytest.mark.parametrize("seed", range(8))
def test_whatever_fails_one_run_has_one_end_and_every_gateway_the_same_policy(seed: int) -> None:
    """Holders killed, all killed, the core cut, a site cut off that missed the end, a gateway added."""
    town = rollout_simulation(seed + 10)
    chance = town.kernel.stream("troubles of a rollout")
    policy: Policy = {"name": chance.choice(["slows", "doubles"]), "far_share": 0.15} if seed % 2 else GOOD
    town.start_rollout(policy)
    for _ in range(4):
        town.run(chance.uniform(1.0, 6.0))
        holders = [rollouts_of(m.node.state)["holder"] for m in town.machines if m.node is not None]
        holder = town.by_name.get(max(holders, default=""), town.machines[0])
        trouble = chance.choice(("holder", "all", "cut core", "cut site", "leave", "config"))
        if trouble == "holder":
            holder.kill()
        elif trouble == "all":
            for machine in town.machines:
                machine.kill()
        elif trouble == "cut core":
            town.cut({holder.name})
        elif trouble == "cut site":
            town.cut({m.name for m in town.machines if m.zone == "b" and not m.core})
        elif trouble == "leave" and holder.node is not None:
            for duty in holder.node.duties:
                duty.hand_over()
            holder.carry_out()
        elif trouble == "config":
            base = max(m.node.state["version"] for m in town.machines if m.node is not None)
            body = {**change(base + 1, base, 2), "tenants": town.tenants}
            town.machines[-1].call("PUT", body)
        town.run(chance.uniform(0.5, 3.0))
        for machine in town.machines:
            if machine.node is None:
                machine.start()
        town.heal()
    past = until_over(town, 400.0)
    town.run(3.0)
    assert past and past["how"] in (("halted",) if seed % 2 else ("done", "halted")), past
    if policy["name"] == "doubles":
        assert past["step"] <= 0
    states = {str(rollouts_of(m.node.state)["past"]) for m in town.machines if m.node is not None}
    assert len(states) == 1
    expected = policy if past["how"] == "done" else BUILT_IN_POLICY
    assert all(m.node is not None and m.node.policy == (expected, "") for m in town.machines)
    assert isinstance(town.machines[0], FaultyGateway)


def test_commands_check_a_policy_and_plan_its_way(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    policy, sites = tmp_path / "policy.json", tmp_path / "sites.json"
    policy.write_text(json.dumps(GOOD))
    sites.write_text(json.dumps({"sites": SITES, "last": ["dispatch"], "most_share": 1.0}))
    assert main(["check", "policy", str(policy)]) == 0
    assert json.loads(capsys.readouterr().out)["changes"] == {"far_share": [None, 0.2]}
    assert main(["rollout", "plan", str(sites)]) == 0
    assert json.loads(capsys.readouterr().out) == {"steps": [["a"], ["b"], ["c"]]}
    for path, text, words, why in (
        (policy, '{"name": "x", "far": 1}', ["check", "policy", str(policy)], "policy.far: no such"),
        (policy, "[]", ["check", "policy", str(policy)], "not an object"),
        (sites, '{"sites": {"a": {"zones": ["a"]}}}', ["rollout", "plan", str(sites)], "a: no asks"),
        (sites, '{"sites": {}}', ["rollout", "plan", str(sites)], "sites: 1 to"),
        (sites, "{", ["rollout", "plan", str(sites)], "sites.json"),
    ):
        path.write_text(text)
        assert main(words) == 1 and why in capsys.readouterr().err
