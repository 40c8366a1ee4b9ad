//! Health of a stub engine, and its effect on the engine's connections.

use std::future::Future;
use tokio::sync::watch;

/// State of an engine's process and machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    Up,
    /// The process has ended; its connections are closed.
    Down,
    /// The machine is unreachable; its connections stay open but nothing is answered.
    Silent,
}

/// Drives a connection until it ends or the engine is [`Health::Down`]; pauses while the engine is [`Health::Silent`].
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
