//! Whether an engine's process and machine run, and connections that end or stall with them.

use std::future::Future;
use tokio::sync::watch;

/// Whether an engine's process and machine run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    Up,
    /// The process has ended: connections end.
    Down,
    /// The machine is cut off: nothing is answered.
    Silent,
}

/// Drives a connection until it ends or its engine's process does; it rests while the engine is silent.
pub async fn drive_while_up(connection: impl Future, mut health: watch::Receiver<Health>) {
    let mut connection = std::pin::pin!(connection);
    loop {
        let now = *health.borrow_and_update();
        let ended = match now {
            Health::Down => return,
            Health::Silent => health.changed().await.is_err(),
            Health::Up => tokio::select! {
                _ = &mut connection => true,
                changed = health.changed() => changed.is_err(),
            },
        };
        if ended {
            return;
        }
    }
}
