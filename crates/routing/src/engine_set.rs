//! Stores sets of engines as bitmaps.

/// Number of engines that one word of a set covers.
const WORD_BITS: usize = u64::BITS as usize;

/// A set of engine indices.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineBitmap(Vec<u64>);

impl EngineBitmap {
    /// Returns whether the engine is in the set.
    pub fn contains(&self, engine: usize) -> bool {
        self.0
            .get(engine / WORD_BITS)
            .is_some_and(|word| word >> (engine % WORD_BITS) & 1 == 1)
    }

    /// Adds an engine to the set if `is_member` is true, otherwise removes it.
    pub fn set(&mut self, engine: usize, is_member: bool) {
        let word = engine / WORD_BITS;
        if self.0.len() <= word {
            self.0.resize(word + 1, 0);
        }
        let bit = 1 << (engine % WORD_BITS);
        if is_member {
            self.0[word] |= bit;
        } else {
            self.0[word] &= !bit;
        }
    }

    /// Returns whether the set has no engines.
    pub fn is_empty(&self) -> bool {
        self.0.iter().all(|word| *word == 0)
    }

    /// Iterates over the indices of the engines in the set, in ascending order.
    pub fn engines(&self) -> impl Iterator<Item = usize> + '_ {
        let bits = |(n, word): (usize, &u64)| {
            let word = *word;
            (0..WORD_BITS)
                .filter(move |bit| word >> bit & 1 == 1)
                .map(move |bit| n * WORD_BITS + bit)
        };
        self.0.iter().enumerate().flat_map(bits)
    }

    /// Returns the bitmap in words of 64 engines. Bit 0 of the first word is engine 0.
    pub fn words(&self) -> &[u64] {
        &self.0
    }

    pub(crate) fn union_with(&mut self, other: &EngineBitmap) {
        self.0.resize(self.0.len().max(other.0.len()), 0);
        self.0
            .iter_mut()
            .zip(&other.0)
            .for_each(|(word, other)| *word |= other);
    }

    pub(crate) fn intersect_with(&mut self, other: &EngineBitmap) {
        self.0.truncate(other.0.len());
        self.0
            .iter_mut()
            .zip(&other.0)
            .for_each(|(word, other)| *word &= other);
    }
}
