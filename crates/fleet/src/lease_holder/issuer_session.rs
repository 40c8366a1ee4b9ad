//! The session of a lease holder with one issuer.

use std::time::Duration;

/// The session with one issuer, which lasts as long as it is renewed. Leases of earlier sessions have ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct IssuerSession {
    /// The current or last session; 0 where there was none yet.
    pub(super) number: u64,
    /// When the leases of this session end, by the holder's clock.
    pub(super) expires_at: Duration,
}

impl IssuerSession {
    /// Renews the session by a reply, or begins the next one; returns false where the reply is outdated.
    pub(super) fn renew(&mut self, number: u64, expires_at: Duration) -> bool {
        if self.number == number {
            self.expires_at = self.expires_at.max(expires_at);
            return true;
        }
        // A late reply of an earlier session must not restore its leases.
        let is_later = self.number == 0 || expires_at > self.expires_at;
        if is_later {
            *self = IssuerSession { number, expires_at };
        }
        is_later
    }
}
