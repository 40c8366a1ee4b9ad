//! Role `ledger`: the ledger of open attempts.

use super::stopwatch::{memory_growth, timed_repeatedly};
use crate::slopes::measurement::{Measured, Point};
use crate::slopes::metric::Metric;
use crate::slopes::role::{Role, RoleError};
use garnetwall_ledger::{
    AttemptId, ConnectionId, Evidence, Ledger, ProgressEvents, ProtocolLimits,
};
use std::hint::black_box;
use std::time::Duration;

/// Limits of the protocol, as in the gateway.
const PROTOCOL_LIMITS: ProtocolLimits = ProtocolLimits {
    long_poll: Duration::from_millis(250),
    progress_events: ProgressEvents::NotSent,
    poll_expiry: Duration::from_secs(2),
    cancel_pause: Duration::from_millis(50),
};

/// Measures a ledger with `open_attempts` open attempts.
pub struct OpenAttempts;

impl Role for OpenAttempts {
    fn measure(&self, point: &Point) -> Result<Vec<Measured>, RoleError> {
        let open = point.quantities.open_attempts;
        let now = Duration::from_secs(1);
        let (resident, (mut ledger, mut attempts)) = memory_growth(|| {
            let mut ledger = Ledger::new(PROTOCOL_LIMITS);
            let attempts: Vec<AttemptId> = (0..open).map(|_| begin(&mut ledger, now)).collect();
            (ledger, attempts)
        })?;
        // One attempt ends and another begins, so that the number of open attempts stays constant.
        let attempt = timed_repeatedly(|repeat| {
            let slot = &mut attempts[(repeat % open) as usize];
            ledger.record(now, *slot, Evidence::Ended);
            black_box(ledger.next_cancel_step(now, *slot));
            ledger.close(*slot);
            *slot = begin(&mut ledger, now);
        });
        Ok(vec![
            Measured::new(Metric::Attempt, attempt),
            Measured::new(Metric::Resident, resident),
        ])
    }
}

/// Opens an attempt and records that it runs.
fn begin(ledger: &mut Ledger, now: Duration) -> AttemptId {
    let attempt = ledger.open(now, Duration::ZERO);
    ledger.record(now, attempt, Evidence::RequestSent);
    ledger.record(now, attempt, Evidence::Running(ConnectionId(1)));
    attempt
}
