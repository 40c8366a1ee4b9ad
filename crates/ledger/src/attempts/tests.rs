//! Tests of the ledger of open attempts: scenarios, a comparison with a reference model, and a simulation.

use super::*;

mod plain_model;
mod scenarios;
mod simulation;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

const PROTOCOL_LIMITS: ProtocolLimits = ProtocolLimits {
    long_poll: ms(250),
    progress_events: ProgressEvents::NotSent,
    poll_expiry: ms(2000),
    cancel_pause: ms(50),
};
