//! What callers see of all scheduling policies together, in a slot model without sockets: 17 endpoints of 8 slots,
//! three dispatchers and three entries. Unless stated otherwise, jobs have 1 to 20 tasks of 50 to 350 ms, so that the
//! slots can run 64 jobs a second.

mod model;

use ::model::RefusableWork;
use decisions::PlacementRule;

use crate::model::{Cluster, Outcome, SlotModel, Workload};

/// The limits on one customer's outcome: the lowest percentage of jobs answered in time, the highest percentage failed,
/// and the highest 99% quantile of response time over the longest task. At most one percent of the jobs may be late in
/// every test, because work that cannot be in time has to be refused at once.
struct Expectation(&'static str, f64, f64, f64);

fn check(title: &str, cluster: Cluster, loads: Vec<Workload>, expect: &[Expectation]) {
    for seed in [1, 2] {
        let outcomes = SlotModel::run(cluster.clone(), loads.clone(), seed);
        for Expectation(name, in_time, failed, ratio) in expect {
            let outcome = &outcomes[name];
            let summary = summary(outcome);
            println!("{title}, {name}: {summary}");
            assert!(
                outcome.percent(outcome.in_time) >= *in_time,
                "{title}, {name}: {summary}"
            );
            assert!(
                outcome.percent(outcome.failed) <= *failed,
                "{title}, {name}: {summary}"
            );
            assert!(
                outcome.percent(outcome.late) <= 1.0,
                "{title}, {name}: {summary}"
            );
            assert!(outcome.ratio(0.99) <= *ratio, "{title}, {name}: {summary}");
        }
    }
}

fn summary(outcome: &Outcome) -> String {
    format!(
        "{} jobs, in time {:.1}%, refused {:.1}%, failed {:.1}%, late {:.1}%, ratio p50 {:.2} p99 {:.2}",
        outcome.submitted,
        outcome.percent(outcome.in_time),
        outcome.percent(outcome.refused),
        outcome.percent(outcome.failed),
        outcome.percent(outcome.late),
        outcome.ratio(0.5),
        outcome.ratio(0.99),
    )
}

fn load(name: &'static str, rate: f64) -> Workload {
    Workload {
        name,
        rate,
        ..Workload::default()
    }
}

fn five_customers(rate: f64) -> Vec<Workload> {
    ["a", "b", "c", "d", "e"]
        .map(|name| load(name, rate))
        .into()
}

const UNBOUNDED: f64 = f64::INFINITY;

// For two seconds one customer submits at ten times the usual rate of all customers, half more than its share can
// finish before the deadlines. The steady customer stays within its share and is hardly affected; of the burst, as much
// as fits is answered in time and the rest is refused at once.
#[test]
fn a_burst_of_one_customer_leaves_the_others_in_time() {
    let burst = Workload {
        from: 10.0,
        until: 12.0,
        ..load("burst", 300.0)
    };
    let expect = [
        Expectation("steady", 100.0, 0.0, 5.0),
        Expectation("burst", 55.0, 0.0, UNBOUNDED),
    ];
    check(
        "burst",
        Cluster::default(),
        vec![load("steady", 30.0), burst],
        &expect,
    );
}

// One customer asks for more than twice the capacity of all slots, the others for a part of their shares. The others
// are in time as if the big one did not exist; it gets the slots that they leave free.
#[test]
fn skewed_demand_starves_no_customer() {
    for may_refuse in [RefusableWork::Nothing, RefusableWork::Jobs] {
        let big = Workload {
            may_refuse,
            ..load("big", 150.0)
        };
        let mut expect: Vec<_> = ["a", "b", "c", "d", "e"]
            .map(|name| Expectation(name, 100.0, 0.0, 2.0))
            .into();
        // Its work waits up to the deadline only if the contract forbids refusing it.
        let ratio = if may_refuse == RefusableWork::Jobs {
            6.0
        } else {
            UNBOUNDED
        };
        expect.push(Expectation("big", 25.0, 0.0, ratio));
        check(
            "skew",
            Cluster::default(),
            [five_customers(5.0), vec![big]].concat(),
            &expect,
        );
    }
}

// One endpoint takes ten times as long as the others. Its first tasks are not restarted elsewhere, since a task that
// may have started is never started again; after them it only gets probes.
#[test]
fn one_slow_endpoint_makes_few_jobs_late() {
    let mut cluster = Cluster::default();
    cluster.endpoints[3].0 = 10;
    let loads = vec![Workload {
        until: 100.0,
        ..load("usual", 35.0)
    }];
    check(
        "slow endpoint",
        cluster,
        loads,
        &[Expectation("usual", 100.0, 0.0, 1.5)],
    );
}

// One endpoint fails each task at once and so always has free slots. It fails a few jobs until it is quarantined, and
// then one with each probe.
#[test]
fn an_endpoint_that_fails_everything_fails_few_jobs() {
    let mut cluster = Cluster::default();
    cluster.endpoints[3].1 = true;
    check(
        "failing endpoint",
        cluster,
        vec![load("usual", 35.0)],
        &[Expectation("usual", 98.5, 1.5, 2.0)],
    );
}

// Tasks of several seconds hold most slots when short ones arrive. The short ones have to wait for a free slot, but not
// for the long queue.
#[test]
fn long_tasks_do_not_starve_short_ones() {
    let long = Workload {
        run_ms: (2000, 5000),
        deadline_ms: 30_000,
        most_tasks: 10,
        ..load("long", 2.0)
    };
    let expect = [
        Expectation("short", 100.0, 0.0, 2.0),
        Expectation("long", 100.0, 0.0, 1.5),
    ];
    check(
        "mix",
        Cluster::default(),
        vec![load("short", 20.0), long.clone()],
        &expect,
    );
    let long = Workload { rate: 20.0, ..long };
    let expect = [
        Expectation("short", 100.0, 0.0, 12.0),
        Expectation("long", 35.0, 0.0, UNBOUNDED),
    ];
    check(
        "mix, long over",
        Cluster::default(),
        vec![load("short", 20.0), long],
        &expect,
    );
}

// All customers together ask for twice the capacity of the slots, and no contract allows refusals under overload. Half
// of the work, plus what still waits at the end, can be in time; it is in time, and the rest is refused at once.
#[test]
fn overloaded_slots_run_work_that_is_in_time() {
    let expect: Vec<_> = ["a", "b", "c", "d", "e"]
        .map(|name| Expectation(name, 55.0, 0.0, UNBOUNDED))
        .into();
    check("full", Cluster::default(), five_customers(26.0), &expect);
}

// One customer submits more than ten times what its concurrency limit lets through while slots are free.
#[test]
fn a_customer_over_its_limit_delays_only_itself() {
    let big = Workload {
        concurrency: 24,
        ..load("big", 100.0)
    };
    let expect = [
        Expectation("usual", 100.0, 0.0, 1.2),
        Expectation("big", 10.0, 0.0, UNBOUNDED),
    ];
    check(
        "over limit",
        Cluster::default(),
        vec![load("usual", 20.0), big],
        &expect,
    );
}

// One customer declares run times a hundred times too long, the other a hundred times too short. The outcomes are the
// same as with true declarations, since measured run times replace them after the first few tasks.
#[test]
fn wrong_declared_run_times_change_no_outcome() {
    for off in [1.0, 100.0] {
        let high = Workload {
            declared: off,
            ..load("high", 27.0)
        };
        let low = Workload {
            declared: 1.0 / off,
            ..load("low", 27.0)
        };
        let expect = [
            Expectation("high", 100.0, 0.0, 2.5),
            Expectation("low", 100.0, 0.0, 2.5),
        ];
        check("declared", Cluster::default(), vec![high, low], &expect);
    }
}

// Jobs of up to 40 tasks, three percent of them long. The baseline rules leave tasks waiting at one dispatcher while
// another one has a free slot.
#[test]
fn the_free_slots_rule_beats_the_baselines() {
    use PlacementRule::{FreeSlots, RandomOwner, TwoChoices};
    for (percent, rate) in [(60, 14.0), (80, 18.7), (90, 21.0)] {
        let mut ratios = Vec::new();
        for rule in [FreeSlots, TwoChoices, RandomOwner] {
            let mut sum = 0.0;
            for seed in 1..=5 {
                let cluster = Cluster {
                    rule,
                    ..Cluster::default()
                };
                let load = Workload {
                    most_tasks: 40,
                    long: (3, 3000),
                    ..load("usual", rate)
                };
                let outcomes = SlotModel::run(cluster, vec![load], seed);
                sum += outcomes["usual"].ratio(0.99);
            }
            ratios.push(sum / 5.0);
        }
        println!(
            "{percent}%: free slots {:.2}, two choices {:.2}, random {:.2}",
            ratios[0], ratios[1], ratios[2]
        );
        assert!(
            ratios[0] <= ratios[1] * 1.02 && ratios[1] <= ratios[2] * 1.02,
            "{percent}%: {ratios:?}"
        );
    }
}
