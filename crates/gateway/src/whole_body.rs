//! Collects an HTTP body that is read whole into one buffer.
//!
//! The pieces of a body that hyper returns are cut from its read buffer, and each keeps that buffer of 8 KiB or more in
//! memory, however short it is. Here the bytes are copied out of each piece as it arrives, so that a body takes as much
//! memory as it has bytes, in however many pieces it arrives.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use std::pin::pin;

/// Reason why a body could not be collected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WholeBodyError {
    /// The body is longer than the limit.
    TooLong,
    /// The body ended before it was complete.
    Incomplete,
}

/// Reads a body to its end. Trailers are ignored.
///
/// # Errors
///
/// The body has more than `max_bytes` bytes, or could not be read to its end.
pub async fn read_whole(
    body: impl Body<Data = Bytes>,
    max_bytes: usize,
) -> Result<Bytes, WholeBodyError> {
    let mut body = pin!(body);
    let mut collected = Vec::with_capacity(expected_bytes(&*body, max_bytes));
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| WholeBodyError::Incomplete)?;
        let Ok(piece) = frame.into_data() else {
            continue;
        };
        if piece.len() > max_bytes - collected.len() {
            return Err(WholeBodyError::TooLong);
        }
        collected.extend_from_slice(&piece);
    }
    Ok(Bytes::from(collected))
}

/// Returns the announced length of a body, `max_bytes` at most; 0 if none is announced.
fn expected_bytes(body: &impl Body, max_bytes: usize) -> usize {
    let announced = body.size_hint().exact().unwrap_or(0);
    usize::try_from(announced).map_or(max_bytes, |bytes| bytes.min(max_bytes))
}

#[cfg(test)]
mod tests;
