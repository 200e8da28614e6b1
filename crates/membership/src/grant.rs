//! Leased grants: the parts of a customer's concurrency that entries may use.
//!
//! A customer's concurrency is split into a share per data centre ([`split_shares`]). Within one, the customer's home
//! dispatcher ([`GrantAllocator`]) leases parts of the share to the entries ([`GrantHolder`]) for a term.
//!
//! What keeps the sum within the share:
//!
//! - The home debits a grant before it hands it over, and takes a lapsed one back only after the term and a margin,
//!   counted from when the ask came. The holder counts the term from before it sent the ask. So it always stops first.
//! - The holder obeys only the reply to its latest ask about a customer. So when an ask comes that says "I hold h",
//!   the holder can hold no more than the larger of h and what this very reply grants: that is the debit.
//! - A home that is new, or was frozen for long, confirms what holders say they hold and raises nothing until a term
//!   and a margin have passed, since an earlier home may have granted up to a moment before.
//!
//! While views differ, or a holder is cut off from its home, entries may fall back to base shares, which add up to the
//! share once more. So the overrun is at most one share, and it ends one term after the views agree.

mod allocator;
mod holder;
mod message;
mod settings;
mod share;

pub use allocator::GrantAllocator;
pub use holder::{GrantHolder, StartRefusal};
pub use message::{AskBatch, GrantAsk, GrantDecision, GrantReply, ReplyBatch};
pub use settings::GrantSettings;
pub use share::{base_share, fair_target, split_shares};
