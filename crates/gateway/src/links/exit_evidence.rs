//! Finds out whether a back end has exited after a connection to it was lost.
//!
//! A cut link resets connections and refuses new ones just as an exited process does. Therefore a
//! gateway asks others: one of them must observe the refusal too, while it reaches further back
//! ends, and none may reach the back end. If no other gateway can look, the gateway must reach
//! further back ends itself. In any other case the removal of the back end's row shows the exit.

use std::io::ErrorKind;
use std::sync::Arc;

use futures_util::future::join_all;

use super::open_directly;
use crate::back_end::BackEnd;
use crate::directory::Directory;
use crate::event_log::{self, LogPriority};
use crate::relay::tunnel::{self, TunnelError};
use crate::relay::{TunnelRefusal, TunnelRequest};
use crate::shared::Shared;

/// Number of gateways that are asked whether they reach the back end.
const MAX_WITNESSES: usize = 3;
/// Number of other back ends to which a gateway connects to check its links.
const MAX_OTHERS: usize = 4;

/// What other gateways observe of a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Testimony {
    /// One of them reaches the back end.
    Alive,
    /// The back end's address refuses connections of one that reaches others.
    Exited,
    /// They do not reach the back end, and do not know why.
    Unclear,
    /// None of them could look.
    Nothing,
}

/// Whether the back end's process has exited.
pub async fn has_exited(shared: &Arc<Shared>, back_end: &Arc<BackEnd>) -> bool {
    let Err(error) = open_directly(shared, back_end).await else {
        return false;
    };
    if !is_refusal(&error) {
        return false;
    }
    let testimony = ask_witnesses(shared, back_end).await;
    log_testimony(back_end, testimony);
    match testimony {
        Testimony::Alive | Testimony::Unclear => false,
        Testimony::Exited => true,
        Testimony::Nothing => reaches_most_others(shared, back_end).await,
    }
}

fn log_testimony(back_end: &BackEnd, testimony: Testimony) {
    let fields = format_args!("back_end={} testimony={testimony:?}", back_end.id);
    event_log::write(LogPriority::Decision, "exit_check", fields);
}

/// Whether the error shows that nothing listens at the address. No reply shows nothing.
pub fn is_refusal(error: &std::io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset
    )
}

async fn ask_witnesses(shared: &Arc<Shared>, back_end: &Arc<BackEnd>) -> Testimony {
    let request = TunnelRequest {
        back_end: back_end.id.clone(),
        incarnation: back_end.incarnation_hash,
        is_exit_check: true,
        accepts_frames: false,
    };
    let witnesses = shared.tunnel_peers(MAX_WITNESSES);
    let asked = witnesses.iter().map(|peer| tunnel::open(*peer, &request));
    let observations = join_all(asked).await;
    if observations.iter().any(Result::is_ok) {
        shared.links.record_bridged(shared.now(), back_end);
        return Testimony::Alive;
    }
    let refusals: Vec<TunnelRefusal> = observations
        .into_iter()
        .filter_map(|observation| match observation {
            Err(TunnelError::Refused(refusal)) => Some(refusal),
            _ => None,
        })
        .collect();
    if refusals.iter().any(|refusal| refusal.shows_exit()) {
        Testimony::Exited
    } else if refusals.iter().any(|refusal| refusal.is_observation()) {
        Testimony::Unclear
    } else {
        Testimony::Nothing
    }
}

/// Whether this gateway reaches any other back end at present, so that not all its links are cut.
pub async fn reaches_any_other(shared: &Arc<Shared>, back_end: &BackEnd) -> bool {
    let now = shared.now();
    let sample = |it: &Directory| it.sample_responding_others(now, &back_end.id, MAX_OTHERS);
    let reached = connect_to(shared, shared.directory(sample)).await;
    reached.contains(&true)
}

/// Whether this gateway reaches most other back ends at present. Without witnesses, some of its
/// links may be cut.
async fn reaches_most_others(shared: &Arc<Shared>, back_end: &BackEnd) -> bool {
    let now = shared.now();
    let sample = |it: &Directory| it.sample_others(now, &back_end.id, MAX_OTHERS);
    let reached = connect_to(shared, shared.directory(sample)).await;
    let count = reached.iter().filter(|is_reached| **is_reached).count();
    count * 2 > reached.len()
}

/// Whether each of these back ends accepts a connection of this gateway.
async fn connect_to(shared: &Arc<Shared>, back_ends: Vec<Arc<BackEnd>>) -> Vec<bool> {
    let connecting = back_ends.iter().map(|it| open_directly(shared, it));
    let connected = join_all(connecting).await;
    connected.iter().map(Result::is_ok).collect()
}
