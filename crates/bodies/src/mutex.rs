//! Locks a mutex without a result to handle.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex; what a panicked thread left behind is still consistent.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
