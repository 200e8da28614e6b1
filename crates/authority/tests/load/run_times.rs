//! Expected run times are the measured ones, whatever is declared.

use std::time::Duration;

use model::Contract;

use crate::simulation::{ms, Job, Simulation, HOME};

struct RunTimeCase {
    name: &'static str,
    declared: Option<Duration>,
    ran: Duration,
}

/// The fair queue of a dispatcher charges by the expected run time. Callers declare a hundredth or a hundredfold of
/// what their tasks take; after a few ends the offers carry the measured run time.
#[test]
fn offers_carry_the_measured_run_time_after_a_few_ends() {
    let cases = [
        RunTimeCase {
            name: "declared a hundred times too long",
            declared: Some(ms(20_000)),
            ran: ms(200),
        },
        RunTimeCase {
            name: "declared a hundred times too short",
            declared: Some(ms(2)),
            ran: ms(200),
        },
        RunTimeCase {
            name: "not declared",
            declared: None,
            ran: ms(50),
        },
    ];
    for case in cases {
        let mut simulation = Simulation::new(Contract::default());
        simulation.set_limit("school", 40);
        simulation.add_dispatcher(8, HOME);
        simulation.run_times.insert("hold", case.ran);
        let job = Job {
            tasks: 4,
            declared: case.declared,
            ..Job::default()
        };
        simulation.submit(&job).expect(case.name);
        let first = simulation.dispatchers[0].offers[0].expected_run_time;
        assert_eq!(first, case.declared.unwrap_or(ms(300)), "{}", case.name);
        simulation.advance(ms(1_000));
        simulation.submit(&job).expect(case.name);
        let later = simulation.dispatchers[0].offers[4].expected_run_time;
        assert_eq!(later, case.ran, "{}", case.name);
    }
}

/// Tasks end after their deadline, when their submission has been answered. Their run time counts all the same, and the
/// kind is expected to be slow the next time.
#[test]
fn run_times_of_tasks_that_outlive_their_submission_count() {
    let mut simulation = Simulation::new(Contract::default());
    simulation.set_limit("school", 40);
    simulation.add_dispatcher(8, HOME);
    simulation.run_times.insert("hold", ms(3_000));
    let job = Job {
        tasks: 4,
        deadline: ms(1_000),
        ..Job::default()
    };
    simulation.submit(&job).expect("admitted");
    simulation.advance(ms(4_000));
    let longer = Job {
        deadline: ms(9_000),
        ..job
    };
    simulation.submit(&longer).expect("admitted");
    let later = simulation.dispatchers[0].offers[4].expected_run_time;
    assert_eq!(later, ms(3_000));
}
