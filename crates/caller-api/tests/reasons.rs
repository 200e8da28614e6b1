//! The texts and HTTP statuses of all reasons. Clients match on these texts, so changing one breaks clients.

use std::{sync::Arc, time::Duration};

use caller_api::{render_answer, CallerAnswer, SubmissionAnswer};
use model::{FailureReason, RefusalReason, SubmissionOutcome, UnknownReason};

fn render_line(outcome: SubmissionOutcome) -> String {
    let answer = render_answer(&CallerAnswer::Local(SubmissionAnswer {
        id: None,
        job: false,
        outcome: Arc::new(outcome),
        version: None,
        stale: false,
    }));
    let json = String::from_utf8(answer.json).expect("JSON is text");
    format!("{} {json}\n", answer.status)
}

#[test]
fn reasons_and_statuses_are_stable() {
    let mut page = String::new();
    for reason in RefusalReason::ALL {
        page += &render_line(SubmissionOutcome::Refused {
            reason: *reason,
            retry_after: Some(Duration::from_millis(1_500)),
        });
    }
    for reason in FailureReason::ALL {
        page += &render_line(SubmissionOutcome::Failed(*reason));
    }
    for reason in UnknownReason::ALL {
        page += &render_line(SubmissionOutcome::Unknown(*reason));
    }
    insta::assert_snapshot!(page);
}
