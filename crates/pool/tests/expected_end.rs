//! Placement by expected end against placement by free capacity, with one data centre that asks for far more than the
//! others.

mod support;

use std::time::Duration;

use fastrand::Rng;
use jobs::JobId;
use model::PlacementPolicy;
use pool::{
    choose_pool, order_offers, select_offer_pools, OfferLimits, PlacementDemand, PlacementOption,
    PoolCandidate, PoolLoad, PublishedProfile, StartProfile, PROFILE_BYTES,
};
use support::{fleet::Fleet, Simulation};

/// The shares of jobs in time of the first data centre, whose callers ask 2.5 times as much as usual, and of the worst
/// of the others, whose callers ask 0.6 times as much.
fn uneven_demand(seed: u64, centres: usize, pools: usize, policy: PlacementPolicy) -> (f64, f64) {
    let mut factors = vec![0.6; centres];
    factors[0] = 2.5;
    let mut fleet = Fleet::new(seed, centres, pools, policy);
    fleet.run(5_000, &factors);
    fleet.run(1_500, &vec![0.0; centres]);
    let others = (1..centres).map(|centre| fleet.in_time(centre, 1_000));
    (fleet.in_time(0, 1_000), others.fold(1.0, f64::min))
}

fn compare(centres: usize, pools: usize, seeds: u64) {
    for seed in 1..=seeds {
        let (busy, others) = uneven_demand(seed, centres, pools, PlacementPolicy::FreeCapacity);
        println!(
            "{centres} centres, seed {seed}, free_capacity: busy {busy:.3} worst other {others:.3}"
        );
        let (busy, others) = uneven_demand(seed, centres, pools, PlacementPolicy::ExpectedEnd);
        println!(
            "{centres} centres, seed {seed}, expected_end: busy {busy:.3} worst other {others:.3}"
        );
        assert!(
            busy >= 0.93 && others >= 0.95,
            "seed {seed}: {busy:.3} {others:.3}"
        );
    }
}

/// Guards against refusing jobs of a busy data centre while two others have free workers.
#[test]
fn a_busy_data_centre_is_served_by_two_others() {
    compare(3, 3, 2);
}

/// Guards against asking only the nearest pools for offers: the six pools asked first are not those with free workers.
#[test]
fn a_busy_data_centre_is_served_by_eleven_others() {
    compare(12, 2, 1);
}

const DEMAND: PlacementDemand = PlacementDemand {
    tasks: 4,
    cpu: 4_000,
    chain: Duration::from_millis(100),
    limit: Duration::from_millis(200),
};

fn option(same_data_centre: bool, starts: [usize; 5]) -> PlacementOption {
    PlacementOption {
        candidate: PoolCandidate {
            same_data_centre,
            load: PoolLoad {
                capacity: 50_000,
                free: starts[0] as u64 * 1_000,
                ..PoolLoad::default()
            },
            ..PoolCandidate::default()
        },
        profile: Some(StartProfile::new(1_000, 1.0, starts)),
        age: Duration::from_millis(50),
    }
}

/// Guards against sending a job to a remote or full pool without an offer, and against passing over a free pool of the
/// own process.
#[test]
fn only_local_pools_that_end_the_job_in_time_get_it_unasked() {
    let mut rng = Rng::with_seed(1);
    let (full, soon, free) = ([0, 0, 0, 2, 9], [0, 2, 6, 9, 9], [9; 5]);
    let mut choose = |options: &[PlacementOption]| choose_pool(options, &DEMAND, &mut rng);
    assert_eq!(choose(&[option(false, free), option(true, full)]), None);
    assert_eq!(choose(&[option(true, full), option(true, soon)]), Some(1));
    let mut sent = option(true, free);
    sent.candidate.sent_cpu = 6_000;
    assert_eq!(choose(&[sent]), None);
    let mut own = option(true, full);
    own.candidate.same_process = true;
    own.candidate.load.free = 4_000;
    assert_eq!(choose(&[option(true, free), own]), Some(1));
    let no_profile = PlacementOption {
        profile: None,
        ..option(true, free)
    };
    assert_eq!(choose(&[no_profile]), Some(0));
}

/// Guards against asking only pools of the own data centre, and against the same pools being asked by all entries.
#[test]
fn half_of_the_asked_pools_are_remote_if_these_have_capacity() {
    let (full, some) = ([0; 5], [2; 5]);
    let mut options = vec![option(true, some); 8];
    options.extend(vec![option(false, some); 8]);
    options.extend(vec![option(false, full); 4]);
    let mut limits = OfferLimits {
        max_pools: 6,
        enough_factor: None,
    };
    let mut asked = [0; 20];
    for seed in 0..200 {
        let mut rng = Rng::with_seed(seed);
        let chosen = select_offer_pools(&options, &DEMAND, limits, &mut rng);
        assert_eq!(chosen.len(), 6);
        let remote = chosen.iter().filter(|index| **index >= 8).count();
        assert_eq!(remote, 3);
        for index in chosen {
            asked[index] += 1;
        }
    }
    assert!(asked[8..16].iter().all(|count| *count > 20), "{asked:?}");
    assert_eq!(asked[16..], [0; 4]);
    limits.enough_factor = Some(1);
    let chosen = select_offer_pools(&options, &DEMAND, limits, &mut Rng::with_seed(1));
    assert_eq!(chosen.len(), 2, "two pools with two tasks each are enough");
    assert_eq!(
        order_offers(&[(false, 2), (false, 9), (true, 1)]),
        [2, 1, 0]
    );
}

/// Guards against profiles that show capacity which waiting work will use.
#[test]
fn a_profile_counts_running_and_waiting_work() {
    let mut simulation = Simulation::new(1, 1);
    assert_eq!(simulation.pool.start_profile(simulation.instant()), None);
    simulation.submit_sized(1, JobId(1), vec![150.0; 2], 150.0, 8_000);
    simulation.run_for(20);
    let starts = |simulation: &Simulation| {
        let profile = simulation.pool.start_profile(simulation.instant());
        profile.unwrap().starts()
    };
    assert_eq!(starts(&simulation), [0, 0, 0, 2, 2]);
    simulation.submit_sized(1, JobId(2), vec![150.0], 150.0, 8_000);
    assert_eq!(starts(&simulation), [0, 0, 0, 1, 2]);
}

/// Guards against using a damaged profile, or one of a newer encoding.
#[test]
fn only_valid_profiles_are_decoded() {
    let profile = PublishedProfile::Known(StartProfile::new(8_000, 1.25, [0, 1, 2, 3, 70_000]));
    let bytes = profile.encode();
    assert_eq!(bytes.len(), PROFILE_BYTES);
    assert_eq!(PublishedProfile::decode(&bytes), profile);
    assert_eq!(PublishedProfile::decode(&[]), PublishedProfile::Missing);
    for (index, value) in [(0, 2), (1, 0), (6, 9)] {
        let mut damaged = bytes.clone();
        damaged[index] = value;
        let decoded = PublishedProfile::decode(&damaged);
        assert_eq!(decoded, PublishedProfile::Unreadable, "{index}");
    }
    let longer = [bytes, vec![0]].concat();
    assert_eq!(
        PublishedProfile::decode(&longer),
        PublishedProfile::Unreadable
    );
}
