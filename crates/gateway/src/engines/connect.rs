//! Opens connections to engines within the connection budget and the connect timeout.

use super::request::{RequestBody, Sender};
use super::response::{CallError, Reply};
use super::{result_rows, Engines};
use crate::supervision::Task;
use crate::system::budgeted_stream::{AbortFlag, BudgetedStream, MAX_RESPONSE_HEAD_BYTES};
use crate::system::send_gate::SendGate;
use crate::system::socket::{ConnectWait, Socket};
use crate::whole_body::{read_whole, WholeBodyError};
use bytes::Bytes;
use http::Request;
use hyper::client::conn::http1;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// An open connection.
pub(super) struct EngineConnection {
    sender: Sender,
    abort_flag: AbortFlag,
    /// Receives the bytes that the engine had sent beyond the last response when the connection ended.
    surplus: oneshot::Receiver<Bytes>,
}

impl EngineConnection {
    /// Returns the flag that aborts this connection.
    pub(super) fn abort_flag(&self) -> AbortFlag {
        self.abort_flag.clone()
    }

    pub(super) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and receives the whole response.
    ///
    /// # Errors
    ///
    /// [`CallError`] if the request can't be sent or the response can't be received. A body longer than a page may be
    /// counts as [`CallError::InvalidResponse`].
    pub(super) async fn receive_reply(
        &mut self,
        request: Request<RequestBody>,
    ) -> Result<Reply, CallError> {
        self.sender.ready().await?;
        let response = self.sender.send_request(request).await?;
        let (head, body) = response.into_parts();
        let body = read_whole(body, result_rows::MAX_PAGE_BYTES)
            .await
            .map_err(|error| match error {
                WholeBodyError::TooLong => CallError::InvalidResponse,
                WholeBodyError::Incomplete => CallError::ConnectionLost,
            })?;
        Ok(Reply {
            status: head.status,
            headers: head.headers,
            body,
            surplus: self.take_surplus(),
        })
    }

    /// Returns the bytes that have arrived behind the last response. The connection's task reads on once it has passed a
    /// body to its end, and ends at once if there are such bytes.
    pub(super) fn take_surplus(&mut self) -> Bytes {
        self.surplus.try_recv().unwrap_or_default()
    }
}

/// Serves a connection until it ends, and returns the bytes that were read and belong to no response.
async fn run_connection(mut connection: http1::Connection<BudgetedStream, RequestBody>) -> Bytes {
    // The caller gets errors of the connection through the sender.
    let _ = poll_fn(|cx| connection.poll_without_shutdown(cx)).await;
    connection.into_parts().read_buf
}

impl Engines {
    /// Opens a connection within the budget and the connect timeout. The request that starts an attempt is sent through
    /// `send_gate`.
    ///
    /// # Errors
    ///
    /// [`CallError::ConnectionRefused`] if the engine's machine refused the connection, [`CallError::LocalResources`]
    /// if the timeout passed while waiting for a resource of this machine, otherwise [`CallError::ConnectFailed`].
    pub(super) async fn connect(
        &self,
        address: SocketAddr,
        send_gate: Option<Arc<SendGate>>,
    ) -> Result<EngineConnection, CallError> {
        // The first wait is for a permit of the budget. If the timeout passes then, the engine is not at fault.
        let wait = ConnectWait::local();
        let connecting = self.open_connection(address, send_gate, &wait);
        match timeout(self.connect_timeout, connecting).await {
            Ok(Ok(connection)) => Ok(connection),
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                Err(CallError::ConnectionRefused)
            }
            Err(_) if wait.is_local() => Err(CallError::LocalResources),
            Ok(Err(_)) | Err(_) => Err(CallError::ConnectFailed),
        }
    }

    async fn open_connection(
        &self,
        address: SocketAddr,
        send_gate: Option<Arc<SendGate>>,
        wait: &ConnectWait,
    ) -> io::Result<EngineConnection> {
        let permit = self
            .connection_permits
            .clone()
            .acquire_owned()
            .await
            .map_err(io::Error::other)?;
        let socket = Socket::connect(address, wait).await?;
        let stream = BudgetedStream::new(socket, Some(permit)).gated(send_gate);
        let abort_flag = stream.abort_flag();
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_RESPONSE_HEAD_BYTES)
            .handshake(stream)
            .await
            .map_err(io::Error::other)?;
        let (surplus_sender, surplus) = oneshot::channel();
        self.supervisor.spawn(Task::EngineConnection, async move {
            // Nobody receives the surplus of a connection that no call uses any more.
            let _ = surplus_sender.send(run_connection(connection).await);
        });
        Ok(EngineConnection {
            sender,
            abort_flag,
            surplus,
        })
    }
}
