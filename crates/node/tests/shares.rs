//! Fair shares at an owner: which class a job from another process belongs to.

mod support;

use std::time::Duration;

use kernel::{ClockSource, SystemClock};
use model::SharingPolicy;
use node::NodeProcess;
use support::{job_call, Platform};

/// Runs one job that states the given data centre, and returns the owner for its log.
async fn owner_after_job(sharing: SharingPolicy, origin: Option<&str>) -> NodeProcess {
    let platform = Platform::start(1, Duration::from_millis(20)).await;
    let mut settings = platform.node_settings("vm-o");
    settings.load.sharing = sharing;
    let owner = platform.start_node(settings).await;
    let link = peer::connect_pool(owner.peer_address(), std::sync::Arc::default(), || ()).await;
    let (estimate, time_left) = (Duration::from_millis(20), Duration::from_millis(8_000));
    let mut call = job_call(1, estimate, time_left, SystemClock.since_boot());
    call.terms.origin = origin.map(|origin| origin.parse().unwrap());
    let outcome = link.unwrap().run(&call).await;
    assert!(outcome.is_ok(), "{outcome:?} {}", owner.log_lines());
    owner
}

/// Guards against entries of an older build, which do not state their data centre, being refused or counted apart from
/// the owner's own data centre; and against a data centre that is stated and not read.
#[actix_rt::test]
async fn a_job_without_a_data_centre_counts_as_the_owners() {
    for (origin, class) in [(None, "r-1/east/narrow"), (Some("west"), "r-1/west/narrow")] {
        let owner = owner_after_job(SharingPolicy::MaxMin, origin).await;
        let log = owner.log_lines();
        assert!(log.contains(&format!(r#""class":"{class}""#)), "{log}");
    }
}

/// Guards against shares at a node whose settings do not ask for them.
#[actix_rt::test]
async fn the_default_policy_has_no_shares() {
    let owner = owner_after_job(SharingPolicy::default(), Some("west")).await;
    let log = owner.log_lines();
    assert!(
        log.contains("job_admission") && !log.contains(r#""class""#),
        "{log}"
    );
}
