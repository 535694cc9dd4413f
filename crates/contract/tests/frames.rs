//! Frames between nodes: what is written is read, and garbage is an error.

use bytes::{BufMut, BytesMut};
use gorsebank_contract::frame::{Envelope, EnvelopeCodec, FrameError, MAX_FRAME_BYTES};
use gorsebank_contract::{Attempt, PeerMessage, RequestId, Revision, Ticket, TicketId};
use gorsebank_world::QueueKey;
use proptest::prelude::*;
use tokio_util::codec::{Decoder, Encoder};

fn envelope(number: u64) -> Envelope {
    let ticket = Ticket {
        id: TicketId {
            request: RequestId(number, number),
            attempt: Attempt(1),
        },
        queue: QueueKey::Service("customer-api".into()),
        class: Default::default(),
        remaining: 5_000,
    };
    Envelope {
        from: "node-1".into(),
        message: PeerMessage::Tickets(vec![ticket]),
    }
}

#[test]
fn envelopes_survive_being_cut_into_pieces() {
    let mut codec = EnvelopeCodec::default();
    let mut whole = BytesMut::new();
    for number in 0..3 {
        codec
            .encode(&envelope(number), &mut whole)
            .expect("it encodes");
    }
    let mut source = BytesMut::new();
    let mut read = Vec::new();
    for byte in whole {
        source.put_u8(byte);
        read.extend(codec.decode(&mut source).expect("no garbage"));
    }
    assert_eq!(read, [envelope(0), envelope(1), envelope(2)]);
}

#[test]
fn frames_over_length_are_refused() {
    let mut source = BytesMut::new();
    source.put_u32(MAX_FRAME_BYTES as u32 + 1);
    let error = EnvelopeCodec::default().decode(&mut source);
    assert!(matches!(error, Err(FrameError::Io(_))));
}

#[test]
fn the_error_names_the_length() {
    let mut source = BytesMut::new();
    source.put_u32(3);
    source.put_slice(&[0xff, 0xff, 0xff]);
    let error = EnvelopeCodec::default()
        .decode(&mut source)
        .expect_err("garbage")
        .to_string();
    assert!(error.contains("3 bytes"), "{error}");
}

proptest! {
    #[test]
    fn garbage_never_panics(content in proptest::collection::vec(any::<u8>(), 0..200)) {
        let mut source = BytesMut::new();
        source.put_u32(content.len() as u32);
        source.put_slice(&content);
        let _ = EnvelopeCodec::default().decode(&mut source);
    }

    #[test]
    fn revisions_survive(above in any::<u64>()) {
        let envelope = Envelope {
            from: "n".into(),
            message: PeerMessage::ConfigurationWanted { above: Revision(above) },
        };
        let mut bytes = BytesMut::new();
        let mut codec = EnvelopeCodec::default();
        codec.encode(&envelope, &mut bytes).expect("it encodes");
        prop_assert_eq!(codec.decode(&mut bytes).expect("no garbage"), Some(envelope));
    }
}
