//! Options of connections to back ends, by which the operating system ends connections to machines
//! that have gone silent.

use std::time::Duration;

use gorsebank_gateway::http_connection::open_stream;
use socket2::SockRef;
use tokio::net::TcpListener;

/// Longest silence of a sound back end, as users state it, with a margin.
const SOUND_SILENCE: Duration = Duration::from_secs(2);
/// Time within which a connection that went silent for good must be closed.
const MAX_SILENCE: Duration = Duration::from_secs(15);

#[tokio::test]
async fn a_connection_outlives_a_short_silence_and_ends_after_a_long_one() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let stream = open_stream(address, SOUND_SILENCE)
        .await
        .expect("a connection");
    let socket = SockRef::from(&stream);
    assert!(socket.keepalive().expect("an option"));
    let timeout = socket
        .tcp_user_timeout()
        .expect("an option")
        .expect("a timeout");
    let first_probe = socket.tcp_keepalive_time().expect("an option");
    assert!(timeout > SOUND_SILENCE, "{timeout:?}");
    // The probe after the timeout ends the connection.
    assert!(
        first_probe + timeout <= MAX_SILENCE,
        "{first_probe:?} {timeout:?}"
    );
}
