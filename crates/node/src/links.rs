//! Outgoing connections to other nodes, one each, kept open.
//!
//! Messages that cannot be sent are dropped and counted: every promise holds
//! without them, and whoever waits for an answer asks again.

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

/// Messages that wait for a connection at the most.
const QUEUE_LENGTH: usize = 4_096;
/// A connection must be established within this time.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// A message must be written within this time.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a connection failed.
const RECONNECT_PAUSE: Duration = Duration::from_millis(200);
/// Messages that are written at once.
const BATCH: usize = 64;

#[derive(Debug)]
struct Link {
    address: SocketAddr,
    queue: mpsc::Sender<PeerMessage>,
}

/// All outgoing connections.
#[derive(Debug)]
pub struct Links {
    node: NodeId,
    links: Mutex<HashMap<NodeId, Link>>,
    metrics: Arc<Metrics>,
}

impl Links {
    /// No connections.
    pub fn new(node: NodeId, metrics: Arc<Metrics>) -> Self {
        Links {
            node,
            links: Mutex::default(),
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
        let mut links = self.links.lock();
        if let Some(link) = links.get(to)
            && link.address == address
        {
            return link.queue.clone();
        }
        let (queue, messages) = mpsc::channel(QUEUE_LENGTH);
        let task = run(
            self.node.clone(),
            address,
            messages,
            Arc::clone(&self.metrics),
        );
        tokio::spawn(task);
        let link = Link {
            address,
            queue: queue.clone(),
        };
        links.insert(to.clone(), link);
        queue
    }
}

async fn run(
    node: NodeId,
    address: SocketAddr,
    mut messages: mpsc::Receiver<PeerMessage>,
    metrics: Arc<Metrics>,
) {
    let mut connection = None;
    let mut batch = Vec::with_capacity(BATCH);
    while messages.recv_many(&mut batch, BATCH).await > 0 {
        if connection.is_none() {
            connection = connect(address).await;
        }
        let Some(writer) = connection.as_mut() else {
            metrics.messages_dropped.inc_by(batch.len() as u64);
            batch.clear();
            tokio::time::sleep(RECONNECT_PAUSE).await;
            continue;
        };
        let sent = write(writer, &node, &mut batch, &metrics).await;
        if !sent {
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
