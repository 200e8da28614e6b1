//! Leased grants: the parts of a customer's concurrency that entries may use.
//!
//! A customer's concurrency is split into a share per data centre ([`split_shares`]). Within a data centre, the
//! customer's home dispatcher ([`GrantAllocator`]) leases parts of the share to the entries ([`GrantHolder`]) for a
//! term.
//!
//! Three rules keep the sum of the grants within the share:
//!
//! - The home records a lease before it sends a grant, and frees an expired lease only after the term and a margin,
//!   counted from the arrival of the ask. The holder counts the term from before it sent the ask, so its grant always
//!   ends first.
//! - The holder applies only the reply to its latest ask about a customer. When an ask arrives that reports a held
//!   grant of `h`, the holder can therefore hold no more than the larger of `h` and the count in the reply to that ask.
//!   The lease records this maximum.
//! - A home that is new, or was frozen for longer than [`GrantSettings::max_input_gap`], is in recovery for a term and
//!   a margin. During recovery it confirms what holders report to hold and raises no grant, since a previous home may
//!   have granted up to a moment before.
//!
//! While views differ, or a holder is cut off from its home, entries may fall back to base shares, which add up to the
//! share once more. The overrun is therefore at most one share, and it ends one term after the views agree.

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
