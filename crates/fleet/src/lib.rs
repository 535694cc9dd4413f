//! Decisions of a gateway about a fleet of back ends, as pure logic without I/O: the route of a
//! request, the back end that serves it, whether it may be retried, and which models the
//! placement holder loads on which back ends.
//!
//! Inputs: configuration, reports of back ends, demand and time. Outputs: decisions as values,
//! which `gorsebank-gateway` carries out. No code in this crate reads a clock, a socket or global
//! state.

pub mod access;
pub mod back_end;
pub mod brittle;
pub mod choice;
pub mod configuration;
pub mod demand;
pub mod distribution_tree;
pub mod drain_notices;
pub mod engine_queue;
pub mod events;
pub mod fingerprint;
pub mod hash_ring;
pub mod health;
pub mod incarnation;
pub mod lease;
pub mod ledger;
pub mod liveness;
pub mod member;
pub mod membership_convergence;
mod notices;
pub mod pacer;
pub mod placement;
pub mod prefill;
pub mod prefill_pacing;
pub mod prefill_speed;
pub mod prompt;
pub mod quarantine;
pub mod quota_shard;
pub mod reachability;
pub mod received_numbers;
pub mod requested_pause;
pub mod retry_window;
pub mod running;
pub mod software_versions;
pub mod split;
pub mod stated_limits;
pub mod stream_origin_row;
pub mod stream_origins;
pub mod sweep;
pub mod tenant;
pub mod version_history;

pub use access::{Denial, KeyBounds, identify};
pub use back_end::{BackEndReport, CopyTier, EngineReport, Holdings, PlacedRow, PlannedLoad};
pub use brittle::BrittleServices;
pub use configuration::{Configuration, Engine, Limits, ModelSpec, RequestKind, Route, Service};
pub use demand::{Demand, DemandRow, ModelDemand};
pub use drain_notices::{DrainNotice, DrainNotices};
pub use fingerprint::{Fingerprint, FingerprintHasher};
pub use hash_ring::HashRing;
pub use incarnation::{Born, Incarnation, IncarnationMatch};
pub use lease::{Candidacy, LeaseKeeper, LeaseRow, LeaseStep};
pub use ledger::{Ledger, LimitBound, QuotaDecision};
pub use liveness::{LivenessProof, LivenessProofs};
pub use member::MemberRow;
pub use membership_convergence::MembershipConvergence;
pub use pacer::{Pacer, SendTime};
pub use prefill::PrefillModel;
pub use prefill_pacing::{LongPause, PrefillPacer, PromptSend};
pub use prefill_speed::{GapSample, PrefillSpeedRow, PrefillSpeedSample};
pub use prompt::{CachedPrefixes, Prompt, PromptPart};
pub use quarantine::Quarantine;
pub use reachability::{DirectFailureKind, PathOrder, Reachability};
pub use requested_pause::{PausedBackEnds, RequestedPause};
pub use retry_window::{RetryShare, RetryWindow};
pub use software_versions::{RowEvidence, SoftwareVersions};
pub use stated_limits::{LimitNotice, StatedLimit, StatedLimits};
pub use stream_origin_row::StreamOriginRow;
pub use stream_origins::{OriginRecord, StreamKey, StreamOrigins};
pub use sweep::Sweep;
pub use tenant::{ApiKey, LimitUnit, Tenant, TenantEntry, TenantLimit, Tenants, TenantsError};
pub use version_history::VersionHistoryRow;
