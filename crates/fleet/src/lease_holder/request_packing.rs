//! How claims and releases are spread over the requests to one issuer.

use crate::lease_message::{Claim, HolderId, LeaseRequest, MAX_CLAIMS_PER_MESSAGE};

/// Requests that go to an issuer at once, each with up to [`MAX_CLAIMS_PER_MESSAGE`] claims and releases.
const MAX_REQUESTS_PER_ISSUER: usize = 16;

/// What a request asks of an issuer beside the renewal.
#[derive(Clone, Copy)]
enum Change {
    Release(Claim),
    Claim(Claim),
}

/// Packs releases first, then claims, as many as go out at once. One request renews all leases, so that there is one even
/// without a change; there are more only for changes that do not fit into one.
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
