//! The session of a lease holder with one issuer, as the holder sees it.

use std::time::Duration;

/// The latest session with one issuer. It lasts until `expires_at`, which each accepted reply extends. Leases of
/// earlier sessions have ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct IssuerSession {
    /// The number that the issuer gave the session; 0 before the first reply.
    pub(super) number: u64,
    /// The time, by the holder's clock, at which the session and its leases end.
    pub(super) expires_at: Duration,
}

impl IssuerSession {
    /// Applies the session number of a reply: extends the session, or begins a new one. Returns false, without a
    /// change, if the reply belongs to an earlier session.
    pub(super) fn renew(&mut self, number: u64, expires_at: Duration) -> bool {
        if self.number == number {
            self.expires_at = self.expires_at.max(expires_at);
            return true;
        }
        // A delayed reply of an earlier session must not make its leases valid again.
        let is_later = self.number == 0 || expires_at > self.expires_at;
        if is_later {
            *self = IssuerSession { number, expires_at };
        }
        is_later
    }
}
