//! Distributes claims and releases over the requests to one issuer.

use crate::lease_message::{Claim, HolderId, LeaseRequest, MAX_CLAIMS_PER_MESSAGE};

/// The largest number of requests to one issuer in one round, each with up to [`MAX_CLAIMS_PER_MESSAGE`] claims and
/// releases.
const MAX_REQUESTS_PER_ISSUER: usize = 16;

/// A change that a request asks for in addition to the renewal of the leases.
#[derive(Clone, Copy)]
enum Change {
    Release(Claim),
    Claim(Claim),
}

/// Returns the requests to one issuer in one round, as few as hold the releases and claims, but at least one: a request
/// without releases and claims still renews all leases. The releases come before the claims; those beyond the limit of
/// [`MAX_REQUESTS_PER_ISSUER`] requests are left out.
pub(super) fn pack_requests(
    holder: HolderId,
    number: u32,
    releases: impl Iterator<Item = Claim>,
    claims: impl Iterator<Item = Claim>,
) -> Vec<LeaseRequest> {
    let changes: Vec<Change> = releases
        .map(Change::Release)
        .chain(claims.map(Change::Claim))
        .take(MAX_CLAIMS_PER_MESSAGE * MAX_REQUESTS_PER_ISSUER)
        .collect();
    if changes.is_empty() {
        return vec![request_with(&[], holder, number)];
    }
    changes
        .chunks(MAX_CLAIMS_PER_MESSAGE)
        .map(|chunk| request_with(chunk, holder, number))
        .collect()
}

fn request_with(changes: &[Change], holder: HolderId, number: u32) -> LeaseRequest {
    let mut request = LeaseRequest {
        holder,
        number,
        claims: Vec::new(),
        releases: Vec::new(),
    };
    for change in changes {
        match change {
            Change::Release(claim) => request.releases.push(*claim),
            Change::Claim(claim) => request.claims.push(*claim),
        }
    }
    request
}
