//! A body too long to be read whole before its batch is taken.

use super::request_head::arrival;
use super::responses::{closing, error_response, final_response, not_kept};
use super::submission::take;
use super::{HttpFront, FIRST_REQUEST_TIMEOUT};
use crate::engines::Statement;
use crate::http::client_stream::StreamHandle;
use crate::http::statement;
use axum::body::Body;
use axum::http::header::HeaderMap;
use axum::http::StatusCode;
use axum::response::Response;
use garnetwall_bodies::room::Refused;
use garnetwall_bodies::{Body as Kept, Store};
use http_body_util::BodyExt;
use hyper::body::Body as _;
use std::net::IpAddr;
use std::sync::Arc;
use tokio::time::timeout;

/// Bytes of a long body in which its data set is looked for before it is taken.
const PREFIX_BYTES: usize = 64 << 10;
/// Until a long body has its own.
const PLACEHOLDER: bytes::Bytes = bytes::Bytes::from_static(b"-");

/// A body too long to be read whole first: it goes on while it comes in, and is kept as it passes.
pub(super) async fn submit_streamed(
    front: &HttpFront,
    store: &Arc<Store>,
    group: &str,
    head: &HeaderMap,
    client: IpAddr,
    peer: &StreamHandle,
    mut body: Body,
) -> Response {
    let length = body.size_hint().exact();
    let came = front.scheduler.arrival_time(peer.last_read_at());
    let (mut arrival, mut call) = match arrival(&front.decoded, group, head, client, PLACEHOLDER) {
        Ok(taken) => taken,
        Err(what) => return closing(error_response(StatusCode::BAD_REQUEST, &what)),
    };
    let once_only = front.scheduler.is_non_idempotent(arrival.class);
    let kept = match store.admit_as(arrival.tenant, arrival.class, length, once_only) {
        Ok(kept) => kept,
        Err(refused) => return closing(not_kept(refused)),
    };
    let _writing = Writing(kept.clone());
    let mut first = Vec::new();
    while first.len() < PREFIX_BYTES {
        match timeout(FIRST_REQUEST_TIMEOUT, next_chunk(&mut body)).await {
            Ok(Ok(Some(bytes))) => {
                first.extend_from_slice(&bytes);
                if kept.push(bytes).await.is_err() {
                    return closing(not_kept(Refused::NoRoom));
                }
            }
            Ok(Ok(None)) => break,
            Ok(Err(())) => {
                return closing(error_response(StatusCode::BAD_REQUEST, "statement cut off"))
            }
            Err(_) => {
                return closing(error_response(
                    StatusCode::REQUEST_TIMEOUT,
                    "statement came too slowly",
                ))
            }
        }
    }
    if first.is_empty() {
        return closing(error_response(StatusCode::BAD_REQUEST, "no statement"));
    }
    arrival.data_set = statement::data_set(&first).unwrap_or(0);
    arrival.bytes = length.unwrap_or(first.len() as u64);
    drop(first);
    call.statement = Statement::Streamed(kept.clone());
    let job = arrival.query_key;
    let Ok(memory) = front.statements.clone().try_acquire_many_owned(0) else {
        return closing(error_response(
            StatusCode::INSUFFICIENT_STORAGE,
            "too many statements in hand",
        ));
    };
    let waiter = match take(front, arrival, call, came, memory, peer) {
        Ok(waiter) => waiter,
        Err(refused) => return closing(*refused),
    };
    let answering = final_response(waiter);
    tokio::pin!(answering);
    let pumped = tokio::select! {
        biased;
        // Whatever still comes is not wanted any more.
        answer = &mut answering => return closing(answer),
        pumped = receive_rest(&mut body, &kept) => pumped,
    };
    match pumped {
        Ok(()) => answering.await,
        Err(what) => {
            front.scheduler.cancel(job);
            closing(error_response(StatusCode::BAD_REQUEST, what))
        }
    }
}

/// Whoever stops to take a body in, for whatever reason, tells who reads it; where it is whole that changes nothing.
struct Writing(Arc<Kept>);

impl Drop for Writing {
    fn drop(&mut self) {
        self.0.cut_off();
    }
}

/// Takes in the rest of a body. It ends at the latest with its batch, which its limit bounds.
async fn receive_rest(body: &mut Body, kept: &Kept) -> Result<(), &'static str> {
    while let Some(bytes) = next_chunk(body).await.map_err(|()| "statement cut off")? {
        kept.push(bytes)
            .await
            .map_err(|_| "the body can't be kept, or is longer than it may be")?;
    }
    kept.finish().await;
    Ok(())
}

async fn next_chunk(body: &mut Body) -> Result<Option<bytes::Bytes>, ()> {
    loop {
        match body.frame().await {
            None => return Ok(None),
            Some(Err(_)) => return Err(()),
            // Trailers say nothing here.
            Some(Ok(frame)) => {
                if let Ok(bytes) = frame.into_data() {
                    return Ok(Some(bytes));
                }
            }
        }
    }
}
