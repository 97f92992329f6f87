//! Names at the door and the small indices that stand for them inside (`ids.rs`).

use std::collections::BTreeMap;

/// Names and their indices. An entry ends when the module lets go of it; its index is then used again.
#[derive(Default)]
pub struct Interner {
    index: BTreeMap<String, u32>,
    names: Vec<String>,
    free: Vec<u32>,
}

impl Interner {
    pub fn find(&self, name: &str) -> Option<u32> {
        self.index.get(name).copied()
    }

    pub fn intern(&mut self, name: &str) -> u32 {
        if let Some(known) = self.find(name) {
            return known;
        }
        let id = self.free.pop().unwrap_or(self.names.len() as u32);
        if id as usize == self.names.len() {
            self.names.push(String::new());
        }
        self.names[id as usize] = name.to_string();
        self.index.insert(name.to_string(), id);
        id
    }

    pub fn release(&mut self, id: u32) {
        if self.index.remove(&self.names[id as usize]).is_some() {
            self.free.push(id);
        }
    }

    pub fn name(&self, id: u32) -> &str {
        &self.names[id as usize]
    }
}
