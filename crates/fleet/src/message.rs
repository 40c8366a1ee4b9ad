//! What goes between holders and grantors.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Of claims and returns together that one message carries; what is over that comes with the next.
pub const MOST: usize = 6;

/// Something that has at most one holder: the hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Thing(pub u64);

/// Grows with each holder of a thing, and goes with every act in its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Epoch(pub u64);

/// One life of a gateway: a restarted one is another member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// The hash of the gateway's name.
    pub gateway: u64,
    /// Drawn anew with each start.
    pub life: u64,
}

/// A thing under an epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Claim {
    pub thing: Thing,
    pub epoch: Epoch,
}

/// Renews all that a member has from a grantor, claims more, and gives back.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ask {
    pub from: Member,
    /// Counts the member's asks: what is told names the one that it answers.
    pub number: u32,
    pub claims: Vec<Claim>,
    pub returns: Vec<Claim>,
}

/// What a grantor says to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Verdict {
    /// Given, for as long as the member's session lasts here.
    Given,
    /// Another member has it, under this epoch.
    Held(Epoch),
    /// This epoch, or a later one, has been here before: claim a later one.
    Late(Epoch),
    /// The grantor can keep no more.
    Full,
}

/// A grantor's answer to one ask.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Told {
    pub to: Member,
    pub number: u32,
    /// One unbroken stay of the member with this life of the grantor. What was given in an earlier one is gone.
    pub session: u64,
    pub verdicts: Vec<(Claim, Verdict)>,
    pub returned: Vec<Claim>,
}

/// A grantor that has just started may have given what it does not remember.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Mute {
    #[error("grantor started less than the longest lease ago: it gives nothing for another {0:?}; nothing is to be done")]
    Started(Duration),
    #[error(
        "grantor has {0} members, as many as it is told to keep: raise the fleet's most members"
    )]
    Crowded(usize),
}
