//! A withdrawal that the dispatcher could not confirm.

use std::time::{Duration, Instant};

use authority::{AuthorityAction, AuthoritySettings, DispatcherKey, TaskAuthority};
use model::{
    Contract, ContractVersion, DataCentreId, IncarnationId, OfferReply, Payload, SessionId,
    SlotCounts, SubmissionBody, SubmissionKind, TaskBody, WithdrawalReply,
};

#[test]
fn an_offer_reply_after_an_unconfirmed_withdrawal_still_counts() {
    // A job is cancelled while its offer is in transit. The dispatcher reads the withdrawal first and can confirm
    // nothing; then it queues the offer and replies to it. If that reply is ignored, the task uses the customer's
    // concurrency without ever starting, and the customer's other work waits forever.
    let now = Instant::now();
    let data_centre: DataCentreId = "hall".parse().expect("an id");
    let mut authority = TaskAuthority::new(
        AuthoritySettings::default(),
        data_centre.clone(),
        IncarnationId(1),
        7,
    );
    let body = SubmissionBody {
        customer: "school".parse().expect("an id"),
        kind: SubmissionKind::Job,
        deadline: Some(Duration::from_secs(5)),
        tasks: vec![TaskBody {
            kind: "hold".parse().expect("a kind"),
            payload: Payload::default(),
            declared_run_time: None,
        }],
    };
    authority.set_limit(now, &body.customer, 10);
    let slots = SlotCounts {
        limit: 8,
        ..SlotCounts::default()
    };
    let (key, session) = (DispatcherKey(1), SessionId(1));
    authority.on_session_opened(now, key, data_centre, IncarnationId(9), session, slots);
    let contract = Contract::default();
    let serial = authority.reserve_serial();
    let terms = Some((&contract, ContractVersion(1)));
    authority
        .submit(now, body, 0, terms, Some(serial))
        .expect("admitted");
    let (attempt, ..) = authority.attempts()[0];
    authority.cancel(now, serial);
    authority.on_withdrawn(now, &[(attempt, WithdrawalReply::Running)]);
    authority.take_actions();
    authority.on_offer_replies(now, &[(attempt, OfferReply::Queued)]);
    assert_eq!(authority.attempts(), []);
    let actions = authority.take_actions();
    let withdrawn = actions
        .iter()
        .any(|action| matches!(action, AuthorityAction::Withdraw { .. }));
    assert!(withdrawn, "the reservation is withdrawn: {actions:?}");
}
