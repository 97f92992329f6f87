//! Maps external names to the small indices that identify them within the process (`ids.rs`).

use std::collections::BTreeMap;

/// Names and their indices. The index of a released name is reused.
#[derive(Default)]
pub struct Interner {
    indices: BTreeMap<String, u32>,
    names: Vec<String>,
    free: Vec<u32>,
}

impl Interner {
    /// Returns the index of a name, if it has one.
    pub fn find(&self, name: &str) -> Option<u32> {
        self.indices.get(name).copied()
    }

    /// Returns the index of a name, and assigns one if it has none.
    pub fn intern(&mut self, name: &str) -> u32 {
        if let Some(known) = self.find(name) {
            return known;
        }
        let index = self.free.pop().unwrap_or(self.names.len() as u32);
        if index as usize == self.names.len() {
            self.names.push(String::new());
        }
        self.names[index as usize] = name.to_string();
        self.indices.insert(name.to_string(), index);
        index
    }

    /// Releases the index. Has no effect if the index is already free.
    pub fn release(&mut self, index: u32) {
        if self.indices.remove(&self.names[index as usize]).is_some() {
            self.free.push(index);
        }
    }

    /// Returns the name that the index has, or had last.
    pub fn name(&self, index: u32) -> &str {
        &self.names[index as usize]
    }
}
