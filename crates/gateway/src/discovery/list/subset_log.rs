//! Log messages about the engine subset.

use crate::discovery::selection::SubsetStatus;
use garnetwall_subset::SizeReason;

/// Logs the status of the engine subset after each event of the change log and when its members change. Warns when the
/// subset size begins to exceed the configured size, and when more placement classes than before have no ready engine.
#[derive(Debug, Default)]
pub(super) struct SubsetLog {
    /// The status logged last.
    last: Option<SubsetStatus>,
}

impl SubsetLog {
    pub(super) fn log(&mut self, status: SubsetStatus) {
        let before = self.last.replace(status);
        tracing::info!(
            members = status.members,
            size = status.size,
            reason = ?status.reason,
            widened_by = status.widened_by,
            failed = status.failed,
            unreached = status.unreached,
            "engine subset status"
        );
        let was_raised = before.is_some_and(|before| before.reason == SizeReason::MinHolders);
        if status.reason == SizeReason::MinHolders && !was_raised {
            let size = status.size;
            tracing::warn!(
                size,
                "engine subset size raised: the configured size would leave engines with too few gateways"
            );
        }
        let unserved_before = before.map_or(0, |before| before.unserved_classes);
        if status.unserved_classes > unserved_before {
            tracing::warn!(
                unserved_classes = status.unserved_classes,
                "some placement classes have no ready engine in the list"
            );
        }
    }
}
