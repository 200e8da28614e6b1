//! Ids are written as they were parsed, and texts that are not ids are rejected.

use model::{AttemptId, CustomerId, SubmissionId, TicketId};

fn check_attempt(text: &str, ok: bool) {
    let parsed = text.parse::<AttemptId>();
    assert_eq!(parsed.is_ok(), ok, "{text:?}");
    if let Ok(id) = parsed {
        assert_eq!(id.to_string(), text);
    }
}

#[test]
fn attempt_ids() {
    check_attempt("00000000000000ff-1a.3.0", true);
    check_attempt("00000000000000ff-1a.3", false);
    check_attempt("00000000000000ff-1a.3.0.0", false);
    check_attempt("ff-1a.3.0", false);
    check_attempt("00000000000000ff-+1.3.0", false);
    check_attempt("", false);
}

#[test]
fn other_ids() {
    assert!("rajkot-east".parse::<CustomerId>().is_ok());
    assert!("a b".parse::<CustomerId>().is_err());
    assert!("x".repeat(65).parse::<CustomerId>().is_err());
    assert!("t00000000000000ff-1".parse::<TicketId>().is_ok());
    assert!("00000000000000ff-1".parse::<TicketId>().is_err());
    assert!(
        "00000000000000ff-".parse::<SubmissionId>().is_err()
            || "00000000000000ff-0".parse::<SubmissionId>().is_ok()
    );
}
