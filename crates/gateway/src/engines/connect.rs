//! Opens connections to engines within the connection budget and the connect timeout.

use super::request::Sender;
use super::response::CallError;
use super::Engines;
use crate::supervision::Task;
use crate::system::budgeted_stream::{AbortFlag, BudgetedStream, MAX_RESPONSE_HEAD_BYTES};
use crate::system::send_gate::SendGate;
use crate::system::socket::{ConnectWait, Socket};
use hyper::client::conn::http1;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::time::timeout;

/// An open connection, with the flag that aborts it.
pub(super) struct EngineConnection {
    pub(super) sender: Sender,
    pub(super) abort_flag: AbortFlag,
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
        // The caller gets errors of the connection through the sender.
        let connection = async move { drop(connection.await) };
        self.supervisor.spawn(Task::EngineConnection, connection);
        Ok(EngineConnection { sender, abort_flag })
    }
}
