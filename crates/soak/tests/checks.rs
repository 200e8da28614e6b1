//! Each check reports a record that violates its invariant and accepts one that does not.

use std::time::Duration;

use jobs::{JobId, TaskId};
use soak::{
    check_invariants, AttemptEnd, AttemptTrace, Disturbance, DrainTrace, FaultScope, JobTrace,
    KeptState, KeptTrace, ProbeTrace, RouteAnswer, RunEnd, RunTrace, SoakInvariant, SoakRecord,
    StateRead, StopTrace,
};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn task(index: u32) -> TaskId {
    TaskId {
        job: JobId(1),
        occurrence: 0,
        step: 0,
        index,
    }
}

fn run(index: u32, instance: usize, began: u64, ended: u64) -> RunTrace {
    RunTrace {
        task: task(index),
        run: began,
        worker: instance,
        instance,
        began: ms(began),
        ended: Some(ms(ended)),
        end: Some(RunEnd::Done),
        acknowledged: None,
    }
}

fn attempt(sent: u64, ended: u64, end: AttemptEnd) -> AttemptTrace {
    AttemptTrace {
        node: 0,
        sent: ms(sent),
        ended: ms(ended),
        end,
    }
}

fn job(attempts: Vec<AttemptTrace>) -> JobTrace {
    JobTrace {
        id: JobId(1),
        tasks: 1,
        deadline: ms(2_500),
        attempts,
        open_since: None,
    }
}

/// A record of two jobs, each served by a worker of its own, the second one after all faults have ended.
fn record_without_violations() -> SoakRecord {
    let mut later = job(vec![attempt(9_000, 9_100, AttemptEnd::Answered(200))]);
    later.id = JobId(2);
    let mut later_run = run(0, 2, 9_010, 9_090);
    later_run.task.job = JobId(2);
    SoakRecord {
        jobs: vec![
            job(vec![attempt(1_000, 1_200, AttemptEnd::Answered(200))]),
            later,
        ],
        runs: vec![run(0, 1, 1_050, 1_150), later_run],
        healed: ms(2_000),
        ended: ms(20_000),
        ..SoakRecord::default()
    }
}

fn check(change: impl FnOnce(&mut SoakRecord), expected: &[SoakInvariant]) {
    let mut record = record_without_violations();
    change(&mut record);
    let violations = check_invariants(&record);
    let invariants: Vec<SoakInvariant> = violations
        .iter()
        .map(|violation| violation.invariant)
        .collect();
    assert_eq!(invariants, expected, "{violations:?}");
}

fn disturbance(scope: FaultScope, from: u64, until: u64) -> Disturbance {
    Disturbance {
        scope,
        planned: false,
        from: ms(from),
        until: ms(until),
    }
}

#[test]
fn accepts_a_record_without_violations() {
    check(|_| (), &[]);
}

#[test]
fn too_many_runs_on_a_worker() {
    check(
        |record| {
            record.jobs[0].tasks = 4;
            for index in 1..4 {
                record.runs.push(run(index, 7, 1_050, 1_150));
            }
        },
        &[
            SoakInvariant::Capacity,
            SoakInvariant::Capacity,
            SoakInvariant::Capacity,
        ],
    );
}

#[test]
fn a_task_on_two_workers_at_once() {
    check(
        |record| record.runs.push(run(0, 3, 1_100, 1_180)),
        &[SoakInvariant::Twice],
    );
    check(|record| record.runs.push(run(0, 3, 1_150, 1_180)), &[]);
}

#[test]
fn completed_without_all_tasks() {
    check(
        |record| record.jobs[0].tasks = 2,
        &[SoakInvariant::Completed],
    );
}

/// Guards against a job that its customer is told to have failed although nothing has shown that it cannot be done.
#[test]
fn failed_without_cause() {
    let check_ends = |ends: &[RunEnd], expected: &[SoakInvariant]| {
        check(
            |record| {
                record.jobs[0].attempts = vec![attempt(1_000, 1_900, AttemptEnd::Failed)];
                record.runs.remove(0);
                for (number, end) in ends.iter().enumerate() {
                    let began = 1_010 + 200 * number as u64;
                    record.runs.push(RunTrace {
                        end: Some(*end),
                        ..run(0, 3 + number, began, began + 100)
                    });
                }
            },
            expected,
        );
    };
    let failed = [SoakInvariant::Failed];
    check_ends(&[], &failed);
    check_ends(&[RunEnd::Died], &failed);
    check_ends(
        &[RunEnd::Stopped, RunEnd::Stopped, RunEnd::Stopped],
        &failed,
    );
    check_ends(&[RunEnd::Failed, RunEnd::Failed], &failed);
    check_ends(&[RunEnd::Failed, RunEnd::Died], &failed);
    check_ends(&[RunEnd::Died, RunEnd::Died], &[]);
    check_ends(&[RunEnd::Failed, RunEnd::Failed, RunEnd::Failed], &[]);
}

#[test]
fn failures_of_an_earlier_attempt_are_no_cause() {
    check(
        |record| {
            record.jobs[0].attempts = vec![
                attempt(500, 900, AttemptEnd::Broken),
                attempt(1_000, 1_900, AttemptEnd::Failed),
            ];
            record.runs.remove(0);
            for began in [600, 700, 1_100] {
                record.runs.push(RunTrace {
                    end: Some(RunEnd::Failed),
                    ..run(0, began as usize, began, began + 50)
                });
            }
        },
        &[SoakInvariant::Failed],
    );
}

#[test]
fn a_refused_job_that_ran() {
    let refused = attempt(1_000, 1_200, AttemptEnd::Answered(503));
    check(
        |record| record.jobs[0].attempts = vec![refused],
        &[SoakInvariant::Refused],
    );
    let unanswered = attempt(500, 900, AttemptEnd::Broken);
    check(
        |record| record.jobs[0].attempts = vec![unanswered, refused],
        &[],
    );
}

#[test]
fn an_answer_after_its_deadline() {
    let late = attempt(1_000, 4_500, AttemptEnd::Answered(200));
    check(
        |record| record.jobs[0].attempts = vec![late],
        &[SoakInvariant::InTime],
    );
    check(
        |record| {
            record.jobs[0].attempts = vec![late];
            record.disturbances = vec![disturbance(FaultScope::Node(0), 1_500, 2_000)];
        },
        &[],
    );
}

#[test]
fn a_request_cut_by_a_planned_stop() {
    let cut = |record: &mut SoakRecord| {
        record.jobs[0].attempts = vec![attempt(1_000, 1_400, AttemptEnd::Broken)];
        record.stops = vec![StopTrace {
            node: 0,
            requested: ms(900),
            exited: ms(1_400),
        }];
    };
    check(cut, &[SoakInvariant::Stop]);
    check(
        |record| {
            cut(record);
            // Cut early and before any run of the job began: the connection may just have been closing.
            record.jobs[0].attempts[0].ended = ms(1_040);
            record.stops[0].exited = ms(1_040);
        },
        &[],
    );
    check(
        |record| {
            cut(record);
            record.disturbances = vec![disturbance(FaultScope::Worker(3), 1_100, 1_200)];
        },
        &[],
    );
}

#[test]
fn work_for_a_draining_worker() {
    let drain = |announced| DrainTrace {
        instance: 2,
        announced: ms(announced),
    };
    check(
        |record| record.drains = vec![drain(6_000)],
        &[SoakInvariant::Drain],
    );
    check(|record| record.drains = vec![drain(7_000)], &[]);
}

#[test]
fn a_configuration_that_is_late_or_reverted() {
    let probe = |asked, answer| ProbeTrace {
        node: 0,
        start_count: 1,
        version: 4,
        written: ms(5_000),
        asked: ms(asked),
        answer,
    };
    check(
        |record| {
            record.probes = vec![
                probe(7_000, RouteAnswer::Unknown),
                probe(8_000, RouteAnswer::Known),
            ]
        },
        &[],
    );
    check(
        |record| record.probes = vec![probe(8_000, RouteAnswer::Unknown)],
        &[SoakInvariant::Config],
    );
    check(
        |record| {
            record.probes = vec![
                probe(5_500, RouteAnswer::Known),
                probe(5_800, RouteAnswer::Unknown),
            ]
        },
        &[SoakInvariant::ConfigBack],
    );
    check(
        |record| {
            record.probes = vec![
                probe(8_000, RouteAnswer::NotReady),
                probe(8_250, RouteAnswer::Known),
                probe(8_500, RouteAnswer::NotReady),
            ];
        },
        &[],
    );
    check(
        |record| {
            record.probes = vec![
                probe(8_000, RouteAnswer::NotReady),
                probe(8_250, RouteAnswer::NotReady),
            ];
        },
        &[SoakInvariant::Config],
    );
}

#[test]
fn a_run_started_long_after_the_answer() {
    check(
        |record| record.runs.push(run(0, 3, 2_600, 2_700)),
        &[SoakInvariant::Orphan],
    );
}

#[test]
fn a_run_started_between_two_attempts() {
    let retried = |record: &mut SoakRecord| {
        record.jobs[0].attempts = vec![
            attempt(1_000, 1_200, AttemptEnd::Answered(504)),
            attempt(2_500, 2_600, AttemptEnd::Answered(200)),
        ];
        record.stray_limit = Some(ms(100));
    };
    let add_run = |record: &mut SoakRecord, began| record.runs.push(run(0, 3, began, began + 10));
    check(retried, &[]);
    check(
        |record| {
            retried(record);
            add_run(record, 1_400);
        },
        &[SoakInvariant::Stray],
    );
    for allowed in [1_290, 2_550] {
        check(
            |record| {
                retried(record);
                add_run(record, allowed);
            },
            &[],
        );
    }
    check(
        |record| {
            retried(record);
            add_run(record, 1_400);
            record.stray_limit = None;
        },
        &[],
    );
}

#[test]
fn a_run_of_an_attempt_under_way_at_the_end() {
    let open_since = |record: &mut SoakRecord, sent| {
        record.runs.push(run(0, 3, 2_600, 2_700));
        record.stray_limit = Some(ms(100));
        record.jobs[0].open_since = Some(ms(sent));
    };
    check(|record| open_since(record, 2_590), &[]);
    check(
        |record| open_since(record, 2_650),
        &[SoakInvariant::Orphan, SoakInvariant::Stray],
    );
}

/// Guards against a start of an attempt that its node has not heard to be over counting as late before its deadline, and
/// against one after that counting as in time.
#[test]
fn a_run_after_an_unheard_break() {
    let start_after = |end, began, expected: &[SoakInvariant]| {
        check(
            |record| {
                record.jobs[0].attempts = vec![attempt(1_000, 1_200, end)];
                record.runs.push(run(0, 3, began, began + 10));
                record.stray_limit = Some(ms(100));
            },
            expected,
        );
    };
    let late = [SoakInvariant::Orphan, SoakInvariant::Stray];
    start_after(AttemptEnd::Broken, 3_500, &late);
    start_after(AttemptEnd::Unheard, 3_500, &[]);
    start_after(AttemptEnd::Unheard, 3_650, &[SoakInvariant::Stray]);
    start_after(AttemptEnd::Unheard, 4_850, &late);
}

/// Guards against two runs at once going unseen because the earlier attempt's break is unheard.
#[test]
fn a_second_run_after_an_unheard_break() {
    check(
        |record| {
            record.jobs[0].attempts = vec![
                attempt(1_000, 1_200, AttemptEnd::Unheard),
                attempt(2_500, 2_700, AttemptEnd::Answered(200)),
            ];
            record.runs[0].ended = Some(ms(2_620));
            record.runs.push(run(0, 3, 2_550, 2_650));
        },
        &[SoakInvariant::Twice],
    );
}

/// Guards against runs that an attempt has joined counting as no cause of its failure.
#[test]
fn failures_of_an_attempt_that_was_joined() {
    let fail = |sent, expected: &[SoakInvariant]| {
        check(
            |record| {
                record.jobs[0].attempts = vec![
                    attempt(500, 700, AttemptEnd::Unheard),
                    attempt(sent, sent + 900, AttemptEnd::Failed),
                ];
                record.runs.remove(0);
                for began in [600, 1_000, sent + 100] {
                    record.runs.push(RunTrace {
                        end: Some(RunEnd::Failed),
                        ..run(0, began as usize, began, began + 50)
                    });
                }
            },
            expected,
        );
    };
    fail(2_000, &[]);
    // By then the joined attempt has had its deadline.
    fail(3_100, &[SoakInvariant::Failed]);
}

/// Guards against a break of the customer's own counting as a request that a planned stop has cut.
#[test]
fn an_unheard_break_during_a_planned_stop() {
    check(
        |record| {
            record.jobs[0].attempts = vec![attempt(1_000, 1_400, AttemptEnd::Unheard)];
            record.stops = vec![StopTrace {
                node: 0,
                requested: ms(900),
                exited: ms(1_400),
            }];
        },
        &[],
    );
}

#[test]
fn jobs_not_served_after_all_faults() {
    check(
        |record| {
            let refused = attempt(9_000, 9_010, AttemptEnd::Answered(503));
            record.jobs[1].attempts = vec![refused];
            record.runs.pop();
        },
        &[SoakInvariant::Recovery],
    );
}

const KEPT: JobId = JobId(7);

fn kept_run(began: u64, ended: u64, end: RunEnd) -> RunTrace {
    let mut trace = run(0, 50 + began as usize, began, ended);
    trace.task.job = KEPT;
    trace.end = Some(end);
    trace
}

fn read(sent: u64, answered: u64, state: KeptState) -> StateRead {
    StateRead {
        node: 0,
        sent: ms(sent),
        answered: ms(answered),
        state,
    }
}

/// Checks a record with a kept job of one task that is accepted at 1.2 s, done at 1.4 s and shown as completed at 2 s,
/// after a change.
fn check_kept(change: impl FnOnce(&mut KeptTrace, &mut Vec<RunTrace>), expected: &[SoakInvariant]) {
    let mut job = KeptTrace {
        id: KEPT,
        tasks: 1,
        crashes_workers: false,
        deadline: ms(2_500),
        attempts: vec![attempt(1_000, 1_200, AttemptEnd::Answered(202))],
        reads: vec![
            read(1_250, 1_300, KeptState::Open),
            read(1_900, 2_000, KeptState::Completed),
        ],
        cancel_sent: None,
        cancel_acknowledged: None,
    };
    let mut runs = vec![kept_run(1_250, 1_400, RunEnd::Done)];
    change(&mut job, &mut runs);
    check(
        |record| {
            record.kept_jobs = vec![job];
            record.runs.extend(runs);
        },
        expected,
    );
}

#[test]
fn accepts_a_kept_job() {
    check_kept(|_, _| (), &[]);
}

#[test]
fn an_accepted_job_that_is_not_known() {
    let unknown = |sent| read(sent, sent + 10, KeptState::Unknown);
    check_kept(
        |job, _| job.reads.insert(1, unknown(1_500)),
        &[SoakInvariant::Lost],
    );
    check_kept(|job, _| job.reads.insert(0, unknown(1_100)), &[]);
    check_kept(
        |job, _| {
            job.cancel_sent = Some(ms(1_450));
            job.reads.insert(1, unknown(1_500));
        },
        &[],
    );
}

#[test]
fn an_accepted_job_that_is_not_final_in_the_end() {
    let not_final = |job: &mut KeptTrace| {
        job.reads.pop();
    };
    check_kept(|job, _| not_final(job), &[SoakInvariant::Lost]);
    check_kept(|job, _| job.reads.clear(), &[SoakInvariant::Lost]);
    check_kept(
        |job, _| {
            not_final(job);
            job.attempts[0].end = AttemptEnd::Broken;
        },
        &[],
    );
    check_kept(
        |job, _| {
            not_final(job);
            job.attempts[0].ended = ms(7_000);
            job.attempts[0].sent = ms(6_900);
        },
        &[],
    );
}

#[test]
fn a_kept_job_completed_before_its_tasks_are_done() {
    let completed = [SoakInvariant::Completed];
    check_kept(|job, _| job.tasks = 2, &completed);
    check_kept(|_, runs| runs[0].ended = Some(ms(2_100)), &completed);
    check_kept(|_, runs| runs[0].end = Some(RunEnd::Stopped), &completed);
}

/// Guards against a job that is shown as failed although no task of it has failed so often.
#[test]
fn a_kept_job_failed_without_cause() {
    let check_ends = |ends: &[RunEnd], expected: &[SoakInvariant]| {
        check_kept(
            |job, runs| {
                job.reads[1].state = KeptState::Failed;
                runs.clear();
                for (number, end) in ends.iter().enumerate() {
                    let began = 1_210 + 100 * number as u64;
                    runs.push(kept_run(began, began + 50, *end));
                }
            },
            expected,
        );
    };
    let failed = [SoakInvariant::Failed];
    check_ends(&[], &failed);
    check_ends(&[RunEnd::Stopped; 4], &failed);
    check_ends(&[RunEnd::Failed, RunEnd::Failed, RunEnd::Died], &failed);
    check_ends(&[RunEnd::Failed; 3], &[]);
    check_ends(&[RunEnd::Died; 2], &[]);
}

#[test]
fn a_final_state_that_changes() {
    for state in [KeptState::Open, KeptState::Unknown] {
        let mut expected = vec![SoakInvariant::Settled];
        if state == KeptState::Unknown {
            expected.insert(0, SoakInvariant::Lost);
        }
        check_kept(
            |job, _| job.reads.push(read(2_100, 2_200, state)),
            &expected,
        );
    }
    check_kept(
        |job, _| job.reads.push(read(1_950, 2_200, KeptState::Open)),
        &[],
    );
}

#[test]
fn a_job_shown_as_cancelled_without_a_request() {
    let cancelled = |job: &mut KeptTrace| job.reads[1].state = KeptState::Cancelled;
    check_kept(|job, _| cancelled(job), &[SoakInvariant::Cancelled]);
    check_kept(
        |job, _| {
            cancelled(job);
            job.cancel_sent = Some(ms(1_500));
        },
        &[],
    );
}

#[test]
fn a_cancelled_job_that_goes_on() {
    let cancel = |job: &mut KeptTrace| {
        job.cancel_sent = Some(ms(1_500));
        job.cancel_acknowledged = Some(ms(1_600));
        job.reads[1].state = KeptState::Cancelled;
    };
    for (began, ended) in [(4_000, 4_700), (5_000, 5_100)] {
        check_kept(
            |job, runs| {
                cancel(job);
                runs.push(kept_run(began, ended, RunEnd::Done));
            },
            &[SoakInvariant::Cancelled],
        );
    }
    check_kept(
        |job, runs| {
            cancel(job);
            runs.push(kept_run(1_500, 4_600, RunEnd::Stopped));
        },
        &[],
    );
}

/// Guards against a task that is done, and known to be, and runs once more.
#[test]
fn a_task_that_starts_again_after_its_end() {
    let run_again = |began: u64, acknowledged, expected: &[SoakInvariant]| {
        check_kept(
            |_, runs| {
                runs[0].acknowledged = acknowledged;
                runs.push(kept_run(began, began + 50, RunEnd::Stopped));
            },
            expected,
        );
    };
    run_again(1_450, Some(ms(1_500)), &[SoakInvariant::Again]);
    run_again(1_450, None, &[]);
    run_again(3_100, None, &[SoakInvariant::Again]);
    run_again(2_900, None, &[]);
}

#[test]
fn a_refused_kept_job_that_ran() {
    let refused = attempt(1_000, 1_200, AttemptEnd::Answered(503));
    check_kept(
        |job, _| {
            job.attempts = vec![refused];
            job.reads.clear();
        },
        &[SoakInvariant::Refused],
    );
}

/// Guards against a task that crashes one worker after another without end.
#[test]
fn a_crashing_task_that_is_started_on_and_on() {
    let crash = |times: usize, expected: &[SoakInvariant]| {
        check_kept(
            |job, runs| {
                job.crashes_workers = true;
                job.reads.pop();
                runs.clear();
                for number in 0..times {
                    let began = 1_210 + 100 * number as u64;
                    runs.push(kept_run(began, began + 50, RunEnd::Died));
                }
            },
            expected,
        );
    };
    crash(5, &[]);
    crash(6, &[SoakInvariant::Budget]);
}
