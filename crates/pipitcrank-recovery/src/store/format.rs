//! The file's form: one table with a header and two values, each behind its checksum.

use redb::TableDefinition;

/// Version of the file's form, raised with each change of it.
pub const FORMAT_VERSION: u16 = 1;
/// Longest value read, in bytes: a snapshot of the most replicas configured, and its header.
const MAX_VALUE_LENGTH: usize = 8 << 20;

/// The names on disk are those of the first version.
pub const TABLE: TableDefinition<&str, &[u8]> = TableDefinition::new("kept");
/// The version, and the owner's name.
pub const HEADER_KEY: &str = "head";
pub const VOTER_MEMORY_KEY: &str = "promises";
pub const LEARNED_STATE_KEY: &str = "beliefs";

/// The value behind its checksum: the database verifies its own pages only after a crash.
pub fn with_checksum(value: &[u8]) -> Vec<u8> {
    [&crc32fast::hash(value).to_be_bytes()[..], value].concat()
}

/// The value, if its checksum matches.
pub fn verified(bytes: &[u8]) -> Option<Vec<u8>> {
    let (checksum, value) = bytes.split_first_chunk::<4>()?;
    let matches = crc32fast::hash(value) == u32::from_be_bytes(*checksum);
    (value.len() <= MAX_VALUE_LENGTH && matches).then(|| value.to_vec())
}
