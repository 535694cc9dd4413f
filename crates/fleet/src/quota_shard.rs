//! Quota shards: partitions of the tenants. The gateway that holds a shard's lease charges the
//! requests of the shard's tenants. Each tenant is charged at two shards, with half of its quota
//! at each.
//!
//! Input: tenants, and gateways with their strength. Output: a tenant's shards, and the delay
//! after which a gateway tries to take a free shard. All gateways must agree on a tenant's shards
//! whatever they know of each other, so the number of shards is fixed.
//!
//! Half of a quota covers most of a tenant's usual demand. When a gateway is lost, the other half
//! stays available until another gateway holds the shard, which takes 4.6 s. With one shard per
//! tenant, and half of the shards at the gateway that was lost, 87 gateways with some 300 requests
//! per second in total rejected 1,163 requests in the 4.3 s after the loss.

use std::cmp::Reverse;

use gorsebank_coordination::Timestamp;
use gorsebank_world::{NodeId, TenantId};
use xxhash_rust::xxh3::xxh3_64;

/// Number of quota shards. Each costs one write to the table every 1.5 s.
pub const QUOTA_SHARDS: usize = 6;
/// Number of shards at which each tenant is charged. Their indices are consecutive.
pub const SHARDS_PER_TENANT: usize = 2;
/// Delay that each gateway earlier in the order adds to the later ones' attempt to take a shard.
const DELAY_PER_RANK_MS: u64 = 150;
/// Delay that each shard that a gateway holds adds to its attempt to take another one.
const DELAY_PER_HELD_SHARD_MS: u64 = 450;
/// Upper bound of the delay among the strongest gateways, and the additional delay of all other
/// gateways.
const MAX_DELAY_MS: u64 = 1_500;
/// Time for which the holder of the second shard of a pair could hand it over before it does: longer than
/// it takes to learn of a hand-over of the first one.
const SECOND_SHARD_DELAY_MS: u64 = 5_000;
/// Prefix of the names of the shards' leases.
const LEASE_PREFIX: &str = "count-";

/// The shards at which a tenant is charged.
pub fn shards_of(tenant: &TenantId) -> [usize; SHARDS_PER_TENANT] {
    let pairs = (QUOTA_SHARDS / SHARDS_PER_TENANT) as u64;
    let first = (xxh3_64(tenant.as_str().as_bytes()) % pairs) as usize * SHARDS_PER_TENANT;
    std::array::from_fn(|offset| first + offset)
}

/// The name of a shard's lease.
pub fn lease_name(shard: usize) -> String {
    format!("{LEASE_PREFIX}{shard}")
}

/// The shard of a lease; `None` if the lease is not that of a shard.
pub fn shard_of_lease(name: &str) -> Option<usize> {
    let shard = name.strip_prefix(LEASE_PREFIX)?.parse().ok()?;
    (shard < QUOTA_SHARDS).then_some(shard)
}

/// The shard that charges the other half of the same tenants.
fn partner_of(shard: usize) -> usize {
    shard ^ 1
}

/// A shard that a gateway should hand over, and the gateway that should take it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShardToHandOver<'a> {
    /// The shard.
    pub shard: usize,
    /// Name of the gateway that should take the shard.
    pub to: &'a str,
}

/// Selects a shard that the gateway `own` should hand over to one of `others`, which are gateways
/// of the same strength. No gateway keeps both shards of a tenant, since both would be lost with
/// it, or more than one shard while another gateway has none. `holders` are the known holders of
/// all shards.
pub fn shard_to_hand_over<'a>(
    own: &str,
    holders: &[Option<&str>; QUOTA_SHARDS],
    others: &[&'a str],
) -> Option<ShardToHandOver<'a>> {
    let held = |name: &str| {
        holders
            .iter()
            .filter(|holder| **holder == Some(name))
            .count()
    };
    let to = others
        .iter()
        .copied()
        .min_by_key(|name| (held(name), *name))?;
    let own_shards = (0..QUOTA_SHARDS)
        .rev()
        .filter(|shard| holders[*shard] == Some(own));
    let holds_partner = |shard: &usize| holders[partner_of(*shard)] == Some(own);
    let second_shard = own_shards.clone().find(holds_partner);
    let surplus = own_shards
        .clone()
        .next()
        .filter(|_| held(own) > 1 && held(to) == 0);
    let shard = second_shard.or(surplus)?;
    Some(ShardToHandOver { shard, to })
}

/// Decides when a holder may hand a shard over, so that the two shards of a tenant do not change hands
/// at about the same time. A new holder grants nothing until it knows the usage of a whole window, and
/// meanwhile the other shard has to grant.
///
/// Input: the holders of all shards, as they are learned. Holders learn of a hand-over late, so the two
/// holders of a pair would begin at one moment: that of the second shard waits for longer.
#[derive(Debug, Default)]
pub struct HandOverGuard {
    holders: [Option<NodeId>; QUOTA_SHARDS],
    /// When each shard got its holder.
    held_since: [Timestamp; QUOTA_SHARDS],
    /// The shard that could be handed over, and since when.
    wanted: Option<(usize, Timestamp)>,
}

impl HandOverGuard {
    /// Records the holders of all shards.
    pub fn observe(&mut self, now: Timestamp, holders: &[Option<NodeId>; QUOTA_SHARDS]) {
        for (shard, holder) in holders.iter().enumerate() {
            if self.holders[shard] != *holder {
                self.holders[shard].clone_from(holder);
                self.held_since[shard] = now;
            }
        }
    }

    /// Whether the gateway `own` may hand over `shard` now. A new holder knows the usage of a whole window
    /// after `window_ms`.
    pub fn may_hand_over(
        &mut self,
        now: Timestamp,
        own: &NodeId,
        shard: usize,
        window_ms: u64,
    ) -> bool {
        let partner = partner_of(shard);
        let holder = self.holders[partner].as_ref();
        if holder == Some(own) {
            return true;
        }
        let is_settled = now.since(self.held_since[partner]) >= window_ms;
        if holder.is_none() || !is_settled {
            self.wanted = None;
            return false;
        }
        let since = match self.wanted {
            Some((wanted, since)) if wanted == shard => since,
            _ => now,
        };
        self.wanted = Some((shard, since));
        let is_second = partner < shard;
        !is_second || now.since(since) >= SECOND_SHARD_DELAY_MS
    }
}

/// A gateway that may hold a shard.
#[derive(Clone, Copy, Debug)]
pub struct ShardCandidate<'a> {
    /// The gateway's name.
    pub name: &'a str,
    /// Whether the gateway's processor is among the strongest.
    pub is_strong: bool,
}

/// The position of the gateway `own` in the order in which gateways take free shards.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ShardOrder {
    /// Index among the gateways of the same strength; `None` if unknown.
    position: Option<usize>,
    /// Number of gateways of the same strength.
    peers: usize,
    is_strong: bool,
}

impl ShardOrder {
    /// Determines the position of the gateway `own` among all known gateways.
    pub fn new(own: &str, candidates: &[ShardCandidate<'_>]) -> Self {
        let is_strong = candidates
            .iter()
            .any(|candidate| candidate.name == own && candidate.is_strong);
        let mut peers: Vec<&str> = candidates
            .iter()
            .filter(|candidate| candidate.is_strong == is_strong)
            .map(|candidate| candidate.name)
            .collect();
        peers.sort_by_key(|name| (Reverse(xxh3_64(name.as_bytes())), *name));
        ShardOrder {
            position: peers.iter().position(|name| *name == own),
            peers: peers.len(),
            is_strong,
        }
    }

    /// Delay in milliseconds after which the gateway, which holds the shards in `held`, tries to
    /// take a free one. It is longer if the gateway holds the other shard of the same tenants.
    pub fn delay_with_held_shards(&self, shard: usize, held: &[bool; QUOTA_SHARDS]) -> u64 {
        let count = held.iter().filter(|held| **held).count();
        let partner = if held[partner_of(shard)] {
            SHARDS_PER_TENANT
        } else {
            0
        };
        self.delay(shard, count + partner)
    }

    /// Delay in milliseconds after which the gateway, which holds `held` other shards, tries to
    /// take a free one. For each shard another gateway comes first.
    pub fn delay(&self, shard: usize, held: usize) -> u64 {
        let rank_delay = self.position.map_or(MAX_DELAY_MS, |position| {
            let rank = (position + self.peers - shard % self.peers) % self.peers;
            (DELAY_PER_RANK_MS * rank as u64).min(MAX_DELAY_MS)
        });
        let strength_delay = if self.is_strong { 0 } else { MAX_DELAY_MS };
        rank_delay + strength_delay + DELAY_PER_HELD_SHARD_MS * held as u64
    }
}
