//! Outgoing connections to other nodes: one persistent connection for each node.
//!
//! Messages that cannot be sent are dropped and counted. No guarantee of the
//! system depends on their delivery, and a node that waits for a response sends
//! its message again.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::SinkExt;
use gorsebank_contract::PeerMessage;
use gorsebank_contract::frame::{Envelope, EnvelopeCodec};
use gorsebank_world::NodeId;
use parking_lot::Mutex;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::codec::FramedWrite;

use crate::metrics::Metrics;

/// The longest queue of messages for one connection.
const MAX_QUEUED_MESSAGES: usize = 4_096;
/// The longest time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The longest time to write a batch of messages.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// The wait after a connection could not be established.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// The largest number of messages that are written together.
const MAX_BATCH_MESSAGES: usize = 64;

#[derive(Debug)]
struct PeerConnection {
    address: SocketAddr,
    queue: mpsc::Sender<PeerMessage>,
}

/// All outgoing connections of a node.
#[derive(Debug)]
pub struct PeerConnections {
    node: NodeId,
    connections: Mutex<HashMap<NodeId, PeerConnection>>,
    metrics: Arc<Metrics>,
}

impl PeerConnections {
    /// An empty set of connections.
    pub fn new(node: NodeId, metrics: Arc<Metrics>) -> Self {
        PeerConnections {
            node,
            connections: Mutex::default(),
            metrics,
        }
    }

    /// Queues a message for the node at `address`.
    pub fn send(&self, to: &NodeId, address: SocketAddr, message: PeerMessage) {
        let kind = message.kind();
        let queue = self.queue_to(to, address);
        if queue.try_send(message).is_ok() {
            self.metrics.messages_sent.with_label_values(&[kind]).inc();
        } else {
            self.metrics.messages_dropped.inc();
        }
    }

    fn queue_to(&self, to: &NodeId, address: SocketAddr) -> mpsc::Sender<PeerMessage> {
        let mut connections = self.connections.lock();
        if let Some(connection) = connections.get(to)
            && connection.address == address
        {
            return connection.queue.clone();
        }
        let (queue, messages) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let task = send_messages(
            self.node.clone(),
            address,
            messages,
            Arc::clone(&self.metrics),
        );
        tokio::spawn(task);
        let connection = PeerConnection {
            address,
            queue: queue.clone(),
        };
        connections.insert(to.clone(), connection);
        queue
    }
}

async fn send_messages(
    node: NodeId,
    address: SocketAddr,
    mut messages: mpsc::Receiver<PeerMessage>,
    metrics: Arc<Metrics>,
) {
    let mut connection = None;
    let mut batch = Vec::with_capacity(MAX_BATCH_MESSAGES);
    while messages.recv_many(&mut batch, MAX_BATCH_MESSAGES).await > 0 {
        if connection.is_none() {
            connection = connect(address).await;
        }
        let Some(writer) = connection.as_mut() else {
            metrics.messages_dropped.inc_by(batch.len() as u64);
            batch.clear();
            tokio::time::sleep(RECONNECT_DELAY).await;
            continue;
        };
        let is_sent = write(writer, &node, &mut batch, &metrics).await;
        if !is_sent {
            metrics.messages_dropped.inc();
            connection = None;
        }
    }
}

type Writer = FramedWrite<TcpStream, EnvelopeCodec>;

async fn connect(address: SocketAddr) -> Option<Writer> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .ok()?
        .ok()?;
    stream.set_nodelay(true).ok()?;
    Some(FramedWrite::new(stream, EnvelopeCodec::default()))
}

async fn write(
    writer: &mut Writer,
    node: &NodeId,
    batch: &mut Vec<PeerMessage>,
    metrics: &Metrics,
) -> bool {
    let envelopes: Vec<Envelope> = batch
        .drain(..)
        .map(|message| Envelope {
            from: node.clone(),
            message,
        })
        .collect();
    let write = async {
        for envelope in &envelopes {
            writer.feed(envelope).await?;
        }
        metrics
            .bytes_sent
            .inc_by(writer.write_buffer().len() as u64);
        writer.flush().await
    };
    matches!(timeout(WRITE_TIMEOUT, write).await, Ok(Ok(())))
}
