//! Checks that frames between nodes round-trip, and that invalid frames are rejected with an error.

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
fn envelopes_are_decoded_from_single_bytes() {
    let mut codec = EnvelopeCodec::default();
    let mut encoded = BytesMut::new();
    for number in 0..3 {
        codec
            .encode(&envelope(number), &mut encoded)
            .expect("the envelope is encoded");
    }
    let mut source = BytesMut::new();
    let mut decoded = Vec::new();
    for byte in encoded {
        source.put_u8(byte);
        decoded.extend(codec.decode(&mut source).expect("the frame is valid"));
    }
    assert_eq!(decoded, [envelope(0), envelope(1), envelope(2)]);
}

#[test]
fn frame_over_the_maximum_length_is_rejected() {
    let mut source = BytesMut::new();
    source.put_u32(MAX_FRAME_BYTES as u32 + 1);
    let result = EnvelopeCodec::default().decode(&mut source);
    assert!(matches!(result, Err(FrameError::Io(_))));
}

#[test]
fn decoding_error_gives_the_length() {
    let mut source = BytesMut::new();
    source.put_u32(3);
    source.put_slice(&[0xff, 0xff, 0xff]);
    let error = EnvelopeCodec::default()
        .decode(&mut source)
        .expect_err("the frame is invalid")
        .to_string();
    assert!(error.contains("3 bytes"), "{error}");
}

proptest! {
    #[test]
    fn decoding_of_arbitrary_bytes_never_panics(content in proptest::collection::vec(any::<u8>(), 0..200)) {
        let mut source = BytesMut::new();
        source.put_u32(content.len() as u32);
        source.put_slice(&content);
        let _ = EnvelopeCodec::default().decode(&mut source);
    }

    #[test]
    fn revision_round_trips_through_a_frame(above in any::<u64>()) {
        let envelope = Envelope {
            from: "n".into(),
            message: PeerMessage::ConfigurationRequest { above: Revision(above) },
        };
        let mut bytes = BytesMut::new();
        let mut codec = EnvelopeCodec::default();
        codec.encode(&envelope, &mut bytes).expect("the envelope is encoded");
        prop_assert_eq!(codec.decode(&mut bytes).expect("the frame is valid"), Some(envelope));
    }
}
