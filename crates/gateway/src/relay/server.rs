//! Makes calls of the table for gateways that do not reach it.

use std::sync::Arc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use gorsebank_contract::frame::FrameCodec;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};
use tokio_util::codec::{FramedRead, FramedWrite};

use super::message::{RelayAnswer, RelayRequest};
use super::table::{RelayedTable, out_of_reach};
use crate::ports::WatchedTable;

/// Connections of other gateways that are served at once: a gateway that is fed has one
/// for each table that it follows, and up to 32 are fed; twice that while one is gone.
const MOST_CONNECTIONS: usize = 320;
/// A connection without a call for so long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest wait for a change that a caller may ask for.
const MOST_WAIT: Duration = Duration::from_secs(5);
/// Pause after an accept failed, for instance for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Serves other gateways until the process ends.
pub async fn serve(listener: TcpListener, table: Arc<RelayedTable>) {
    let places = Arc::new(Semaphore::new(MOST_CONNECTIONS));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        // A gateway that finds no place asks another one.
        let Ok(place) = places.clone().try_acquire_owned() else {
            continue;
        };
        let table = table.clone();
        tokio::spawn(async move {
            serve_connection(stream, &table).await;
            drop(place);
        });
    }
}

/// One call after the other; ends with the connection, or with a bad frame.
async fn serve_connection(mut stream: TcpStream, table: &RelayedTable) {
    let _ = stream.set_nodelay(true);
    let (read, write) = stream.split();
    let mut requests = FramedRead::new(read, FrameCodec::<RelayRequest>::default());
    let mut answers = FramedWrite::new(write, FrameCodec::<RelayAnswer>::default());
    while let Ok(Some(Ok(request))) = timeout(IDLE_TIMEOUT, requests.next()).await {
        let answer = answer(table, request).await;
        if answers.send(&answer).await.is_err() {
            return;
        }
    }
}

async fn answer(table: &RelayedTable, request: RelayRequest) -> RelayAnswer {
    match request {
        RelayRequest::Recent { table: name } => table.tell_rows(&name).await,
        RelayRequest::RecentChanges {
            table: name,
            version,
            wait,
        } => {
            let wait = Duration::from_millis(wait);
            table.tell_changes(&name, version, wait).await
        }
        exact => match table.direct() {
            Some(table) => answer_exactly(table, exact).await,
            None => RelayAnswer::Failed(out_of_reach()),
        },
    }
}

/// Makes the call at the table.
async fn answer_exactly(table: &dyn WatchedTable, request: RelayRequest) -> RelayAnswer {
    match request {
        RelayRequest::Read { table: name } => match table.read(&name).await {
            Ok(rows) => RelayAnswer::Rows(rows),
            Err(error) => RelayAnswer::Failed(error),
        },
        RelayRequest::Changes {
            table: name,
            version,
            wait,
        } => {
            let wait = Duration::from_millis(wait).min(MOST_WAIT);
            match table.changes(&name, version, wait).await {
                Ok(changes) => RelayAnswer::Changes(changes),
                Err(error) => RelayAnswer::Failed(error),
            }
        }
        RelayRequest::Transact(transaction) => {
            RelayAnswer::Transacted(table.transact(transaction).await)
        }
        RelayRequest::Recent { .. } | RelayRequest::RecentChanges { .. } => {
            RelayAnswer::Failed(out_of_reach())
        }
        RelayRequest::Remove { key, version } => {
            RelayAnswer::Transacted(table.remove(&key, version).await)
        }
    }
}
