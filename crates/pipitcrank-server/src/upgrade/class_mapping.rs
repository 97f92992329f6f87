//! Assignment of a predecessor's request classes to those of this process. The two may have different configurations, so
//! that an index of the one means nothing to the other; names do.

use pipitcrank_core::coordinator::learned_state::LearnedState;
use pipitcrank_core::ids::RequestClassId;

/// A request class of the predecessor.
#[derive(Debug, PartialEq)]
struct PredecessorClass {
    /// Name of the class; `None` if the predecessor did not send it.
    name: Option<String>,
    /// The class of this process; `None` if this process has no such class.
    own: Option<RequestClassId>,
}

/// Reason for which no class of this process belongs to a class of the predecessor.
#[derive(Debug, PartialEq, thiserror::Error)]
pub(super) enum ClassMappingError {
    /// This process has no class of this name.
    #[error("this process has no request class '{0}'")]
    UnknownName(String),
    /// The predecessor has not sent the name of the class with this index, or has no such class.
    #[error("the predecessor sent no name of the request class with index {0}")]
    UnknownIndex(u16),
}

/// The predecessor's request classes, by their indices there.
#[derive(Debug, Default, PartialEq)]
pub(super) struct ClassMapping(Vec<PredecessorClass>);

impl ClassMapping {
    /// Assigns by the names in the predecessor's state. A predecessor of an earlier version that stored no names has its
    /// classes assigned by position if it has as many as this process.
    pub(super) fn new(learned: &LearnedState, own: &[String]) -> ClassMapping {
        let names: Vec<&str> = learned.class_names().collect();
        let is_unnamed = names.iter().all(|name| name.is_empty());
        if is_unnamed && names.len() == own.len() {
            return ClassMapping::by_position(own);
        }
        let id = |index: usize| RequestClassId(index as u16);
        let class = |name: &&str| PredecessorClass {
            name: Some(name.to_string()).filter(|name| !name.is_empty()),
            own: own.iter().position(|own| own == name).map(id),
        };
        ClassMapping(names.iter().map(class).collect())
    }

    /// Assigns each class to the one at the same position, for a predecessor whose state can't be read.
    pub(super) fn by_position(own: &[String]) -> ClassMapping {
        let class = |index| PredecessorClass { name: None, own: Some(RequestClassId(index)) };
        ClassMapping((0..own.len() as u16).map(class).collect())
    }

    /// The class of this process that belongs to the predecessor's class with this index.
    pub(super) fn own_class(&self, index: u16) -> Result<RequestClassId, ClassMappingError> {
        let class = self.0.get(usize::from(index)).ok_or(ClassMappingError::UnknownIndex(index))?;
        match (&class.name, class.own) {
            (_, Some(own)) => Ok(own),
            (Some(name), None) => Err(ClassMappingError::UnknownName(name.clone())),
            (None, None) => Err(ClassMappingError::UnknownIndex(index)),
        }
    }

    /// Names of the predecessor's classes that this process does not have.
    pub(super) fn unknown_names(&self) -> impl Iterator<Item = &str> {
        let unknown = self.0.iter().filter(|class| class.own.is_none());
        unknown.filter_map(|class| class.name.as_deref())
    }
}

#[cfg(test)]
mod tests;
