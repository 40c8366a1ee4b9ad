//! Computes the sets of patterns that a single engine id can match at once.

use crate::model::matches_pattern;
use fixedbitset::FixedBitSet;

/// Maximum number of such sets. For plans that need more, no cells are computed.
const MAX_SETS: usize = 4096;

/// Returns the sets of patterns that a single id may match, or `None` if there are too many.
///
/// A set never contains two patterns that exclude each other, and with a pattern it always contains every more general
/// one. Both tests are conservative, so some of the returned sets may not match any id.
pub(super) fn matchable_sets(patterns: &[String]) -> Option<Vec<FixedBitSet>> {
    let mut sets = vec![FixedBitSet::with_capacity(patterns.len())];
    for added in 0..patterns.len() {
        let extended = sets.iter().flat_map(|set| extensions(set, patterns, added));
        sets = extended.collect();
        if sets.len() > MAX_SETS {
            return None;
        }
    }
    Some(sets)
}

/// Extends a set over the patterns before index `added`: returns it without and with that pattern, if possible.
fn extensions(set: &FixedBitSet, patterns: &[String], added: usize) -> Vec<FixedBitSet> {
    let pattern = patterns[added].as_str();
    let earlier = || patterns[..added].iter().enumerate();
    let is_required =
        earlier().any(|(index, other)| set.contains(index) && is_within(other, pattern));
    let is_impossible = earlier().any(|(index, other)| match set.contains(index) {
        true => are_disjoint(pattern, other),
        false => is_within(pattern, other),
    });
    let mut extensions = Vec::new();
    if !is_required {
        extensions.push(set.clone());
    }
    if !is_impossible {
        let mut with_added = set.clone();
        with_added.insert(added);
        extensions.push(with_added);
    }
    extensions
}

/// Returns whether every text that matches `narrow` also matches `wide`. A `*` in `narrow` is treated as a literal
/// character, which only a `*` in `wide` matches.
fn is_within(narrow: &str, wide: &str) -> bool {
    matches_pattern(wide, narrow)
}

/// Returns whether no text can match both patterns, judging only by their literal prefixes and suffixes and, for a
/// pattern without `*`, by the name itself.
fn are_disjoint(a: &str, b: &str) -> bool {
    let prefix = |pattern: &str| pattern.split('*').next().unwrap_or_default().to_string();
    let suffix = |pattern: &str| pattern.rsplit('*').next().unwrap_or_default().to_string();
    let is_excluded = |word: &str, by: &str| !word.contains('*') && !matches_pattern(by, word);
    let prefixes_agree = prefix(a).starts_with(&prefix(b)) || prefix(b).starts_with(&prefix(a));
    let suffixes_agree = suffix(a).ends_with(&suffix(b)) || suffix(b).ends_with(&suffix(a));
    !prefixes_agree || !suffixes_agree || is_excluded(a, b) || is_excluded(b, a)
}
