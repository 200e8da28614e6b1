//! Member rows with what their processes have learned, and rows of older processes without it.

use std::net::SocketAddr;

use claims::{LinkRate, MemberRow, NodeId, PublishedMember, PublishedRunTimes};

fn member() -> MemberRow {
    MemberRow {
        node: NodeId::from("vm-1"),
        incarnation: 3,
        data_centre: "east".parse().unwrap(),
        cores: 0.25,
        link: LinkRate::from_megabits(100.0),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        refreshes: 4,
        waits: Vec::new(),
    }
}

/// Guards against a fleet of two versions in which processes do not know each other's members.
#[test]
fn rows_of_both_versions_are_read() {
    let run_times = vec![PublishedRunTimes {
        route: "hold".into(),
        ratios: "text".to_owned(),
    }];
    let published = PublishedMember {
        member: member(),
        run_times: run_times.clone(),
    };
    let new = serde_json::to_vec(&published).unwrap();
    assert_eq!(serde_json::from_slice::<MemberRow>(&new).unwrap(), member());
    assert_eq!(PublishedRunTimes::read(&new).unwrap(), run_times);
    let old = serde_json::to_vec(&member()).unwrap();
    assert_eq!(PublishedRunTimes::read(&old).unwrap(), []);
}
