//! Names of the outside and the small indices that stand for them inside (`ids.rs`).

use std::collections::BTreeMap;

/// Names and their indices. An entry ends when it is released; its index is then used again.
#[derive(Default)]
pub struct Interner {
    indices: BTreeMap<String, u32>,
    names: Vec<String>,
    free: Vec<u32>,
}

impl Interner {
    /// The index of a name that has one.
    pub fn find(&self, name: &str) -> Option<u32> {
        self.indices.get(name).copied()
    }

    /// The index of the name, given now if it has none.
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

    /// Frees the index. Freeing one that is free does nothing.
    pub fn release(&mut self, index: u32) {
        if self.indices.remove(&self.names[index as usize]).is_some() {
            self.free.push(index);
        }
    }

    /// The name that the index has, or had last.
    pub fn name(&self, index: u32) -> &str {
        &self.names[index as usize]
    }
}
