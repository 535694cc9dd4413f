//! The machine list as this node knows it.
//!
//! Two nodes of a cell read the platform's list; the others get it from them.

use std::collections::BTreeMap;

use gorsebank_world::{BackEndId, Machine, MachineList, MachineState};

/// Back ends by name, with the version of the list they came from.
#[derive(Clone, Debug, Default)]
pub struct MachineTable {
    version: u64,
    list: MachineList,
    by_id: BTreeMap<BackEndId, Machine>,
    unusable: Vec<BackEndId>,
}

impl MachineTable {
    /// The version of the list; 0 before any was known.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The list itself.
    pub fn list(&self) -> &MachineList {
        &self.list
    }

    /// A back end by name.
    pub fn back_end(&self, id: &BackEndId) -> Option<&Machine> {
        self.by_id.get(id)
    }

    /// All back ends, by name.
    pub fn back_ends(&self) -> impl Iterator<Item = &Machine> {
        self.by_id.values()
    }

    /// Back ends that are leaving, or were listed and are no more.
    pub fn unusable(&self) -> &[BackEndId] {
        &self.unusable
    }

    /// Takes in a list as read; gives the table with the next version if it
    /// differs from this one's.
    pub fn read(&self, list: MachineList) -> Option<MachineTable> {
        if list == self.list && self.version > 0 {
            return None;
        }
        Some(self.replaced(self.version + 1, list))
    }

    /// Takes in a list as another node sent it, if it is newer.
    pub fn received(&self, version: u64, list: MachineList) -> Option<MachineTable> {
        if version <= self.version {
            return None;
        }
        Some(self.replaced(version, list))
    }

    fn replaced(&self, version: u64, list: MachineList) -> MachineTable {
        let by_id: BTreeMap<BackEndId, Machine> = list
            .back_ends
            .iter()
            .map(|machine| (machine.id.clone(), machine.clone()))
            .collect();
        let leaving = by_id
            .values()
            .filter(|machine| machine.state == MachineState::Leaving)
            .map(|machine| machine.id.clone());
        let gone = self
            .by_id
            .keys()
            .filter(|id| !by_id.contains_key(*id))
            .cloned();
        let unusable = leaving.chain(gone).collect();
        MachineTable {
            version,
            list,
            by_id,
            unusable,
        }
    }
}
