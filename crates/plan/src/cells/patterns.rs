//! Which patterns one id can fit at once.

use crate::model::fits_pattern;
use fixedbitset::FixedBitSet;

/// Plans whose patterns allow more sets are not compared by engines.
const MAX_SETS: usize = 4096;

/// The sets of patterns that one id can fit, as far as the patterns show: no set has two that exclude one another, or
/// one without another that contains it. `None` where there are too many.
pub(super) fn sets(patterns: &[String]) -> Option<Vec<FixedBitSet>> {
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

/// A set over the patterns before `added`, without that pattern and with it, as far as each is possible.
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

/// Whether every text that fits the first pattern fits the second. A `*` of the first is treated as a character that
/// only a `*` matches.
fn is_within(narrow: &str, wide: &str) -> bool {
    fits_pattern(wide, narrow)
}

/// Whether no text fits both patterns, as far as their beginnings and ends show.
fn are_disjoint(a: &str, b: &str) -> bool {
    let prefix = |pattern: &str| pattern.split('*').next().unwrap_or_default().to_string();
    let suffix = |pattern: &str| pattern.rsplit('*').next().unwrap_or_default().to_string();
    let is_excluded = |word: &str, by: &str| !word.contains('*') && !fits_pattern(by, word);
    let prefixes_agree = prefix(a).starts_with(&prefix(b)) || prefix(b).starts_with(&prefix(a));
    let suffixes_agree = suffix(a).ends_with(&suffix(b)) || suffix(b).ends_with(&suffix(a));
    !prefixes_agree || !suffixes_agree || is_excluded(a, b) || is_excluded(b, a)
}
