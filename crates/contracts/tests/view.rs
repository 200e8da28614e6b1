//! Tests of the local contract view, without a clock or sockets.

use contracts::{ContractRow, ContractUpdate, ContractView, HeadNumber};
use model::{Contract, ContractVersion, CustomerId};

fn customer(name: &str) -> CustomerId {
    name.parse().unwrap()
}

fn row(name: &str, version: u64, head: u64) -> ContractRow {
    ContractRow {
        customer: customer(name),
        version: ContractVersion(version),
        head: HeadNumber(head),
        contract: Contract {
            concurrency: u32::try_from(version).unwrap(),
            ..Contract::default()
        },
    }
}

fn update(since: u64, head: u64, rows: &[ContractRow]) -> ContractUpdate {
    ContractUpdate {
        since: HeadNumber(since),
        head: HeadNumber(head),
        rows: rows.to_vec(),
    }
}

fn version_of(view: &ContractView, name: &str) -> Option<u64> {
    view.get(&customer(name)).map(|(version, _)| version.0)
}

#[test]
fn updates_in_any_order_never_revert_a_contract_or_the_head() {
    // Updates from several peers and reads from the platform arrive in any order. A caller whose limits were raised
    // must not get the old limits again, so an old row or head that arrives last is ignored.
    let updates = [
        update(0, 1, &[row("a", 1, 1)]),
        update(0, 3, &[row("a", 2, 3), row("b", 1, 2)]),
        update(0, 4, &[row("a", 2, 3), row("b", 2, 4)]),
    ];
    let orders = [
        [0, 1, 2],
        [0, 2, 1],
        [1, 0, 2],
        [1, 2, 0],
        [2, 0, 1],
        [2, 1, 0],
    ];
    for order in orders {
        let mut view = ContractView::default();
        let (mut version, mut head) = (0, HeadNumber(0));
        for index in order {
            view.apply(updates[index].clone());
            let seen = version_of(&view, "a").unwrap();
            assert!(seen >= version && view.head() >= head, "order {order:?}");
            (version, head) = (seen, view.head());
        }
        let end = (version_of(&view, "a"), version_of(&view, "b"), view.head());
        assert_eq!(end, (Some(2), Some(2), HeadNumber(4)), "order {order:?}");
    }
}

#[test]
fn an_update_that_starts_after_the_head_does_not_advance_it() {
    // A peer sends the changes after head 5 to a view at head 2. The rows are valid, but the view does not know
    // changes 3 to 5. With its head at 7 the view would never request them, and one contract would stay outdated
    // forever.
    let mut view = ContractView::default();
    view.apply(update(0, 2, &[row("a", 1, 1), row("b", 1, 2)]));
    view.apply(update(5, 7, &[row("a", 4, 7)]));
    assert_eq!(version_of(&view, "a"), Some(4));
    assert_eq!(view.head(), HeadNumber(2));
    view.apply(update(2, 7, &[row("b", 2, 5), row("a", 4, 7)]));
    assert_eq!(view.head(), HeadNumber(7));
}

#[test]
fn a_view_is_not_ready_until_it_reaches_the_head_of_its_peers() {
    // A process starts, learns of head 9 from a peer and receives an older set of contracts first. Serving that set
    // would bring back limits that all other processes have already replaced.
    let mut view = ContractView::default();
    assert!(!view.is_ready());
    view.note_peer_head(HeadNumber(9));
    view.apply(update(5, 9, &[row("a", 3, 9)]));
    assert!(!view.is_ready(), "only a partial update was read");
    view.apply(update(0, 8, &[row("a", 2, 8)]));
    assert!(!view.is_ready(), "older than the peer's head");
    assert_eq!(version_of(&view, "a"), Some(3));
    view.apply(update(8, 9, &[row("a", 3, 9)]));
    assert!(view.is_ready());
    view.note_peer_head(HeadNumber(50));
    view.apply(update(0, 9, &[]));
    assert!(view.is_ready(), "a ready view stays ready");
}

#[test]
fn an_update_for_a_peer_holds_only_newer_rows() {
    let mut view = ContractView::default();
    view.apply(update(
        0,
        3,
        &[row("a", 1, 1), row("b", 1, 2), row("c", 1, 3)],
    ));
    let changed = view.apply(update(3, 4, &[row("a", 2, 4), row("b", 1, 2)]));
    assert_eq!(changed, [customer("a")]);

    let names = |head| {
        let update = view.newer_than(HeadNumber(head));
        let mut names: Vec<_> = update.rows.iter().map(|r| r.customer.to_string()).collect();
        names.sort();
        names.join(" ")
    };
    assert_eq!(names(0), "a b c");
    assert_eq!(names(2), "a c");
    assert_eq!(names(3), "a");
    assert_eq!(names(4), "");

    let mut peer = ContractView::default();
    peer.apply(view.newer_than(HeadNumber(0)));
    assert_eq!(peer.head(), view.head());
    assert_eq!(version_of(&peer, "a"), Some(2));
}

#[test]
fn rows_pass_between_peers_as_json() {
    let sent = update(0, 2, &[row("trust", 2, 2)]);
    let text = serde_json::to_string(&sent).unwrap();
    let start =
        r#"{"since":0,"head":2,"rows":[{"customer":"trust","version":2,"head":2,"contract":{"#;
    assert!(text.starts_with(start), "{text}");
    assert_eq!(serde_json::from_str::<ContractUpdate>(&text).unwrap(), sent);
}
