//! A set of gateways by their numbers, one bit each: a run has millions of pairs of a gateway and an engine.

const WORD_BITS: usize = u64::BITS as usize;

/// A set of gateways.
#[derive(Clone, Debug, Default)]
pub struct GatewaySet {
    words: Vec<u64>,
}

impl GatewaySet {
    /// An empty set of gateways with numbers under `gateways`.
    pub fn new(gateways: usize) -> GatewaySet {
        GatewaySet {
            words: vec![0; gateways.div_ceil(WORD_BITS)],
        }
    }

    pub fn contains(&self, gateway: usize) -> bool {
        self.words[gateway / WORD_BITS] & bit(gateway) != 0
    }

    pub fn insert(&mut self, gateway: usize) {
        self.words[gateway / WORD_BITS] |= bit(gateway);
    }

    pub fn remove(&mut self, gateway: usize) {
        self.words[gateway / WORD_BITS] &= !bit(gateway);
    }
}

fn bit(gateway: usize) -> u64 {
    1 << (gateway % WORD_BITS)
}

#[cfg(test)]
mod tests;
