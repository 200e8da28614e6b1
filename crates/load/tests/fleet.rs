//! A short load run against the demonstration fleet.

use std::time::Duration;

use demo::{DemoFleet, FleetSettings};
use load::{run_load, LoadSettings, LoadTargets};

#[test]
fn every_call_of_a_light_load_completes() {
    actix_rt::System::new().block_on(async {
        let fleet = DemoFleet::start(FleetSettings::default()).await.unwrap();
        fleet.wait_until_ready().await.unwrap();
        let customers = ["customer-1", "customer-2"];
        for customer in customers {
            let id = customer.parse().unwrap();
            fleet.create_contract(&id).await.unwrap();
            fleet.wait_until_in_force(&id).await.unwrap();
        }
        let settings = LoadSettings {
            task_rate: 30.0,
            duration: Duration::from_secs(2),
            ..LoadSettings::default()
        };
        let targets = LoadTargets {
            entries: fleet.caller_addresses(),
            endpoints: fleet.endpoint_addresses(),
            customers: customers.map(str::to_owned).to_vec(),
            slots: Some(32),
            ..LoadTargets::default()
        };
        let (report, calls) = run_load(&settings, &targets, |_, _| {}).await.unwrap();
        fleet.stop().await;
        assert!(!calls.is_empty());
        let all = &report.all;
        assert_eq!(all.complete, all.jobs + all.requests, "{report}");
        let starts = report.starts.unwrap();
        assert_eq!((starts.starts, starts.doubled), (report.useful_tasks, 0));
        assert!(all.over_ideal.p50 >= 1.0, "{:?}", all.over_ideal);
        assert!(report.counters.unwrap().offers >= report.useful_tasks as f64);
    });
}
