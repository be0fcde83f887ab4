//! One accepted revision of the catalogue, with dense ids.

use std::collections::HashMap;
use std::time::Duration;

use super::check::{Findings, check};
use super::spec::{
    Access, CatalogueSpec, Class, MaintenanceSpec, OperatorSpec, PoolKind, QueueLimits, Weights,
};
use crate::entity::{DcId, KeyId, PoolId, PrimaryMap, QueueId, RegionId, TeamId};
use crate::key::KeyDigest;
use crate::names::{DcName, KeyName, OperatorName, PoolName, QueueName, RegionName, TeamName};
use crate::units::{Revision, Share, Slots, VmCount};

/// A resolved data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dc {
    /// The name of the data centre.
    pub name: DcName,
    /// The region of the data centre.
    pub region: RegionId,
}

/// A resolved pool of VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pool {
    /// The name of the pool.
    pub name: PoolName,
    /// The purpose of the pool's VMs.
    pub kind: PoolKind,
    /// The least number of VMs that the pool may be sized to, over all data centres.
    pub min_vms: VmCount,
    /// The greatest number of VMs that the pool may be sized to, over all data centres.
    pub max_vms: VmCount,
    /// The availability budget: how many of the pool's VMs in one data centre may be out of service at one time.
    pub max_unavailable_vms: VmCount,
    /// The target number of concurrent requests or tasks on one VM, by which the pool is sized to its demand; 0 if it
    /// is not.
    pub vm_slots: Slots,
}

/// A resolved team.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Team {
    /// The name of the team.
    pub name: TeamName,
    /// The weight of the team when the fleet has no free capacity.
    pub share: Share,
    /// The most slots that the team may have running across the fleet.
    pub upper_limit: Slots,
}

/// A resolved queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Queue {
    /// The name of the queue.
    pub name: QueueName,
    /// The team that owns the queue. Work without a key counts for it.
    pub owner: TeamId,
    /// The priority class of the queue's work.
    pub class: Class,
    /// The pool whose VMs do the queue's work.
    pub pool: PoolId,
    /// Which callers may send work to the queue.
    pub access: Access,
    /// The limits of the queue.
    pub limits: QueueLimits,
}

/// A resolved key of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Key {
    /// The name that operators gave the key; never its secret.
    pub name: KeyName,
    /// The team that work with this key counts for.
    pub team: TeamId,
    /// The SHA-256 digest of the key's secret.
    pub digest: KeyDigest,
}

/// One accepted revision of the catalogue, with valid references.
#[derive(Debug, Clone)]
pub struct Catalogue {
    revision: Revision,
    /// The data centres.
    pub dcs: PrimaryMap<DcId, Dc>,
    /// The names of the regions that the data centres refer to.
    pub regions: PrimaryMap<RegionId, RegionName>,
    /// The pools.
    pub pools: PrimaryMap<PoolId, Pool>,
    /// The teams.
    pub teams: PrimaryMap<TeamId, Team>,
    /// The queues.
    pub queues: PrimaryMap<QueueId, Queue>,
    /// The callers' keys.
    pub keys: PrimaryMap<KeyId, Key>,
    /// The operators' names and key digests.
    pub operators: Vec<OperatorSpec>,
    /// The costs by which decisions are weighed.
    pub weights: Weights,
    /// The settings of the maintenance of VMs.
    pub maintenance: MaintenanceSpec,
    dc_ids: HashMap<DcName, DcId>,
    pool_ids: HashMap<PoolName, PoolId>,
    team_ids: HashMap<TeamName, TeamId>,
    queue_ids: HashMap<QueueName, QueueId>,
    key_prefixes: HashMap<u64, Vec<KeyId>>,
}

impl Catalogue {
    /// Resolves `spec`, which was accepted as `revision`.
    ///
    /// # Errors
    ///
    /// The findings of [`check`], if there are any.
    pub fn resolve(spec: &CatalogueSpec, revision: Revision) -> Result<Self, Findings> {
        let findings = check(spec);
        if !findings.is_empty() {
            return Err(findings);
        }
        let mut cat = Self::empty(revision);
        cat.add_data_centres(spec);
        cat.add_pools(spec);
        cat.add_teams(spec);
        cat.add_queues(spec);
        cat.add_keys(spec);
        cat.operators.clone_from(&spec.operators);
        cat.weights = spec.weights.clone();
        cat.maintenance = spec.maintenance.clone();
        Ok(cat)
    }

    /// Returns the revision as which the catalogue was accepted.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the data centre with this name.
    #[must_use]
    pub fn dc(&self, name: &str) -> Option<DcId> {
        self.dc_ids.get(name).copied()
    }

    /// Returns the pool with this name.
    #[must_use]
    pub fn pool(&self, name: &str) -> Option<PoolId> {
        self.pool_ids.get(name).copied()
    }

    /// Returns the team with this name.
    #[must_use]
    pub fn team(&self, name: &str) -> Option<TeamId> {
        self.team_ids.get(name).copied()
    }

    /// Returns the queue with this name.
    #[must_use]
    pub fn queue(&self, name: &str) -> Option<QueueId> {
        self.queue_ids.get(name).copied()
    }

    /// Returns the caller's key with this secret, or `None` if no such key is granted.
    #[must_use]
    pub fn key(&self, secret: &str) -> Option<KeyId> {
        let digest = KeyDigest::of(secret);
        let candidates = self.key_prefixes.get(&digest.prefix())?;
        candidates
            .iter()
            .copied()
            .find(|id| self.keys[*id].digest == digest)
    }

    /// Returns the operator whose key has this secret.
    #[must_use]
    pub fn operator(&self, secret: &str) -> Option<&OperatorName> {
        let digest = KeyDigest::of(secret);
        let operator = self.operators.iter().find(|o| o.digest == digest)?;
        Some(&operator.name)
    }

    /// Returns the longest time for which work that was admitted through `queue` can still be running.
    #[must_use]
    pub fn run_bound(&self, queue: QueueId) -> Duration {
        let queue = &self.queues[queue];
        match self.pools[queue.pool].kind {
            PoolKind::Workers => queue.limits.run_max(),
            PoolKind::Upstreams | PoolKind::Spare => queue.limits.deadline_max(),
        }
    }

    fn empty(revision: Revision) -> Self {
        Self {
            revision,
            dcs: PrimaryMap::new(),
            regions: PrimaryMap::new(),
            pools: PrimaryMap::new(),
            teams: PrimaryMap::new(),
            queues: PrimaryMap::new(),
            keys: PrimaryMap::new(),
            operators: Vec::new(),
            weights: Weights::default(),
            maintenance: MaintenanceSpec::default(),
            dc_ids: HashMap::new(),
            pool_ids: HashMap::new(),
            team_ids: HashMap::new(),
            queue_ids: HashMap::new(),
            key_prefixes: HashMap::new(),
        }
    }

    fn region(&mut self, name: &RegionName) -> RegionId {
        let known = self.regions.iter().find(|(_, known)| *known == name);
        match known.map(|(id, _)| id) {
            Some(id) => id,
            None => self.regions.push(name.clone()),
        }
    }

    fn add_data_centres(&mut self, spec: &CatalogueSpec) {
        for dc in &spec.data_centres {
            let region = self.region(&dc.region);
            let id = self.dcs.push(Dc {
                name: dc.name.clone(),
                region,
            });
            self.dc_ids.insert(dc.name.clone(), id);
        }
    }

    fn add_pools(&mut self, spec: &CatalogueSpec) {
        for pool in &spec.pools {
            let id = self.pools.push(Pool {
                name: pool.name.clone(),
                kind: pool.kind,
                min_vms: pool.min_vms,
                max_vms: pool.max_vms,
                max_unavailable_vms: pool.max_unavailable_vms,
                vm_slots: pool.vm_slots,
            });
            self.pool_ids.insert(pool.name.clone(), id);
        }
    }

    fn add_teams(&mut self, spec: &CatalogueSpec) {
        for team in &spec.teams {
            let id = self.teams.push(Team {
                name: team.name.clone(),
                share: team.share,
                upper_limit: team.upper_limit_slots,
            });
            self.team_ids.insert(team.name.clone(), id);
        }
    }

    fn add_queues(&mut self, spec: &CatalogueSpec) {
        for queue in &spec.queues {
            // `check` has verified that both references are valid.
            let (Some(owner), Some(pool)) = (
                self.team(queue.owner.as_str()),
                self.pool(queue.pool.as_str()),
            ) else {
                debug_assert!(
                    false,
                    "queue '{}' refers to an unknown team or pool",
                    queue.name
                );
                continue;
            };
            let id = self.queues.push(Queue {
                name: queue.name.clone(),
                owner,
                class: queue.class,
                pool,
                access: queue.access,
                limits: queue.limits.clone(),
            });
            self.queue_ids.insert(queue.name.clone(), id);
        }
    }

    fn add_keys(&mut self, spec: &CatalogueSpec) {
        for key in &spec.keys {
            let Some(team) = self.team(key.team.as_str()) else {
                debug_assert!(false, "key '{}' refers to an unknown team", key.name);
                continue;
            };
            let id = self.keys.push(Key {
                name: key.name.clone(),
                team,
                digest: key.digest,
            });
            let prefix = key.digest.prefix();
            self.key_prefixes.entry(prefix).or_default().push(id);
        }
    }
}
