//! Quotas: how many requests of an organisation run, over all daemons together.
//!
//! Each organisation has one daemon as its owner, which keeps a token bucket. A request takes a
//! token before it is sent. The owner fills its bucket only by the shares of the rate that other
//! daemons lend to it; each daemon lends its share to one owner at a time, so the owners that
//! several membership views name never grant more than the quota together.

mod bucket;
mod lease;
mod lender;
mod message;
mod owner;
mod service;
mod settings;
mod state;
mod view;
mod waiting;

pub use bucket::Bucket;
pub use lender::Lender;
pub use message::{Grant, Message, OrganisationHash};
pub use owner::{BorrowRequest, Loan, Owner};
pub use service::{QuotaDecision, Quotas};
pub use settings::QuotaSettings;
pub use state::{Actions, Outgoing, Pending, QuotaState};
pub use view::View;
pub use waiting::{Outcome, Take, TokenClient, WaitingRequest};

/// The name of the quota service.
pub const NAME: &str = "quota";
