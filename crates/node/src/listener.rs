//! Connections from other nodes. In: frames. Out: events for the decision logic.
//!
//! A connection that carries an invalid frame is closed and counted. Other
//! connections are not affected.

use std::net::SocketAddr;
use std::sync::Arc;

use futures_util::StreamExt;
use gorsebank_contract::frame::EnvelopeCodec;
use gorsebank_coordination::Event;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::FramedRead;

use crate::host::Host;

/// Accepts connections until the task is dropped.
pub async fn run(host: Arc<Host>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                tokio::spawn(read(Arc::clone(&host), stream, from));
            }
            Err(error) => {
                log::warn!("cannot accept a connection from another node: {error}");
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
            }
        }
    }
}

async fn read(host: Arc<Host>, stream: TcpStream, from: SocketAddr) {
    let mut frames = FramedRead::new(stream, EnvelopeCodec::default());
    while let Some(frame) = frames.next().await {
        match frame {
            Ok(envelope) => host.handle(Event::Received {
                from: envelope.from,
                message: envelope.message,
            }),
            Err(error) => {
                host.metrics().frames_refused.inc();
                log::warn!("closing the connection from {from}: {error}");
                return;
            }
        }
    }
}
