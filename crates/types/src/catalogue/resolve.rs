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

/// A data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dc {
    /// Its name.
    pub name: DcName,
    /// The region it lies in.
    pub region: RegionId,
}

/// A pool of VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pool {
    /// Its name.
    pub name: PoolName,
    /// What its VMs do.
    pub kind: PoolKind,
    /// The fewest VMs it may be sized to.
    pub min_vms: VmCount,
    /// The most VMs it may be sized to.
    pub max_vms: VmCount,
    /// How many of its VMs in one data centre may be out of service at one time.
    pub max_unavailable_vms: VmCount,
    /// How many requests or tasks one of its VMs is meant to run at one time; 0 if its size does not follow its demand.
    pub vm_slots: Slots,
}

/// A team.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Team {
    /// Its name.
    pub name: TeamName,
    /// Its weight when the fleet is full.
    pub share: Share,
    /// The most it may have running across the fleet.
    pub upper_limit: Slots,
}

/// A queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Queue {
    /// Its name.
    pub name: QueueName,
    /// The team that answers for it.
    pub owner: TeamId,
    /// How urgent its work is.
    pub class: Class,
    /// The pool whose VMs do its work.
    pub pool: PoolId,
    /// Who may send work to it.
    pub access: Access,
    /// Its bounds.
    pub limits: QueueLimits,
}

/// A caller's key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Key {
    /// What operators call it.
    pub name: KeyName,
    /// The team it speaks for.
    pub team: TeamId,
    /// The digest of its secret.
    pub digest: KeyDigest,
}

/// One accepted revision of the catalogue.
#[derive(Debug, Clone)]
pub struct Catalogue {
    revision: Revision,
    /// The data centres.
    pub dcs: PrimaryMap<DcId, Dc>,
    /// The names of the regions.
    pub regions: PrimaryMap<RegionId, RegionName>,
    /// The pools.
    pub pools: PrimaryMap<PoolId, Pool>,
    /// The teams.
    pub teams: PrimaryMap<TeamId, Team>,
    /// The queues.
    pub queues: PrimaryMap<QueueId, Queue>,
    /// The callers' keys.
    pub keys: PrimaryMap<KeyId, Key>,
    /// The operators.
    pub operators: Vec<OperatorSpec>,
    /// How the measures weigh.
    pub weights: Weights,
    /// How VMs are maintained.
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
    /// Every finding of [`check`], if there is any.
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

    /// The revision in which the catalogue was accepted.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The data centre of this name.
    #[must_use]
    pub fn dc(&self, name: &str) -> Option<DcId> {
        self.dc_ids.get(name).copied()
    }

    /// The pool of this name.
    #[must_use]
    pub fn pool(&self, name: &str) -> Option<PoolId> {
        self.pool_ids.get(name).copied()
    }

    /// The team of this name.
    #[must_use]
    pub fn team(&self, name: &str) -> Option<TeamId> {
        self.team_ids.get(name).copied()
    }

    /// The queue of this name.
    #[must_use]
    pub fn queue(&self, name: &str) -> Option<QueueId> {
        self.queue_ids.get(name).copied()
    }

    /// The key with this secret, if it is granted.
    #[must_use]
    pub fn key(&self, secret: &str) -> Option<KeyId> {
        let digest = KeyDigest::of(secret);
        let candidates = self.key_prefixes.get(&digest.prefix())?;
        candidates
            .iter()
            .copied()
            .find(|id| self.keys[*id].digest == digest)
    }

    /// The operator whose key has this secret.
    #[must_use]
    pub fn operator(&self, secret: &str) -> Option<&OperatorName> {
        let digest = KeyDigest::of(secret);
        let operator = self.operators.iter().find(|o| o.digest == digest)?;
        Some(&operator.name)
    }

    /// The longest time that anything admitted through `queue` can still be running.
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
            // `check` has shown that both references are whole.
            let (Some(owner), Some(pool)) = (
                self.team(queue.owner.as_str()),
                self.pool(queue.pool.as_str()),
            ) else {
                debug_assert!(false, "queue '{}' passed the check", queue.name);
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
                debug_assert!(false, "key '{}' passed the check", key.name);
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
