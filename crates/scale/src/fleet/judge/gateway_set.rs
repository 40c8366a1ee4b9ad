//! A compact set of gateway numbers. It takes one bit per gateway, because a run has millions of pairs of a gateway and
//! an engine.

const WORD_BITS: usize = u64::BITS as usize;

/// A set of gateway numbers below a fixed bound.
#[derive(Clone, Debug, Default)]
pub struct GatewaySet {
    words: Vec<u64>,
}

impl GatewaySet {
    /// Creates an empty set for the gateway numbers below `gateways`.
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
