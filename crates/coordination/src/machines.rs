//! Holds the machine list as this node knows it.
//!
//! Two nodes of a cell read the list from the platform and send it to the other
//! nodes. The input is a list that was read or received; the output is a new
//! table if the list has changed.

use std::collections::BTreeMap;

use gorsebank_world::{BackEndId, Machine, MachineList, MachineState};

/// The back ends of the machine list, by name, and the version of the list.
#[derive(Clone, Debug, Default)]
pub struct MachineTable {
    version: u64,
    list: MachineList,
    by_id: BTreeMap<BackEndId, Machine>,
    unusable: Vec<BackEndId>,
}

impl MachineTable {
    /// Returns the version of the list; 0 before a list is known.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the machine list.
    pub fn list(&self) -> &MachineList {
        &self.list
    }

    /// Returns the back end with the given name.
    pub fn back_end(&self, id: &BackEndId) -> Option<&Machine> {
        self.by_id.get(id)
    }

    /// Returns all back ends in order of their names.
    pub fn back_ends(&self) -> impl Iterator<Item = &Machine> {
        self.by_id.values()
    }

    /// Returns the back ends that are draining, and those that the previous list
    /// contained and this list does not.
    pub fn unusable(&self) -> &[BackEndId] {
        &self.unusable
    }

    /// Returns a table of the next version for a list that was read from the
    /// platform, or `None` if the list is unchanged.
    pub fn with_read_list(&self, list: MachineList) -> Option<MachineTable> {
        if list == self.list && self.version > 0 {
            return None;
        }
        Some(self.with_list(self.version + 1, list))
    }

    /// Returns a table for a list that another node sent, or `None` if the list is
    /// not newer.
    pub fn with_received_list(&self, version: u64, list: MachineList) -> Option<MachineTable> {
        if version <= self.version {
            return None;
        }
        Some(self.with_list(version, list))
    }

    fn with_list(&self, version: u64, list: MachineList) -> MachineTable {
        let by_id: BTreeMap<BackEndId, Machine> = list
            .back_ends
            .iter()
            .map(|machine| (machine.id.clone(), machine.clone()))
            .collect();
        let draining = by_id
            .values()
            .filter(|machine| machine.state == MachineState::Draining)
            .map(|machine| machine.id.clone());
        let removed = self
            .by_id
            .keys()
            .filter(|id| !by_id.contains_key(*id))
            .cloned();
        let unusable = draining.chain(removed).collect();
        MachineTable {
            version,
            list,
            by_id,
            unusable,
        }
    }
}
