//! Logs the engine subset.

use crate::discovery::selection::SubsetStatus;
use garnetwall_subset::SizeReason;

/// Logs the subset after each event of the change log and when its members change, with a warning where it begins to differ
/// from what the settings ask for.
#[derive(Debug, Default)]
pub(super) struct SubsetLog {
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
            "engine subset"
        );
        let was_raised = before.is_some_and(|before| before.reason == SizeReason::MinHolders);
        if status.reason == SizeReason::MinHolders && !was_raised {
            let size = status.size;
            tracing::warn!(size, "subset size raised: too small for so few gateways");
        }
        let unserved_before = before.map_or(0, |before| before.unserved_classes);
        if status.unserved_classes > unserved_before {
            tracing::warn!(
                unserved_classes = status.unserved_classes,
                "no engine in the list for a placement class"
            );
        }
    }
}
