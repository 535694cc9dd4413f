//! Tests how long a listener waits for its address, with a virtual clock.

use std::net::TcpListener;
use std::time::Duration;

use gorsebank_gateway::listener::listen;
use tokio::time::timeout;

/// Time for which the address is in use.
const OCCUPIED_TIME: Duration = Duration::from_secs(3_600);

#[tokio::test(start_paused = true)]
async fn a_start_does_not_fail_while_its_address_stays_in_use() {
    let occupant = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = occupant.local_addr().expect("an address");
    let mut listening = std::pin::pin!(listen(address));
    let while_occupied = timeout(OCCUPIED_TIME, &mut listening).await;
    assert!(while_occupied.is_err(), "{while_occupied:?}");
    drop(occupant);
    listening.await.expect("a listener");
}

#[tokio::test(start_paused = true)]
async fn a_start_does_not_fail_while_its_address_is_not_assigned() {
    // TEST-NET-1, which no machine has.
    let address = "192.0.2.1:8080".parse().expect("an address");
    let unassigned = timeout(OCCUPIED_TIME, listen(address)).await;
    assert!(unassigned.is_err(), "{unassigned:?}");
}
