//! Format of the store file: one table with a header and two values, each preceded by its checksum.

use redb::TableDefinition;

/// Version of the file format, incremented with each change.
pub const FORMAT_VERSION: u16 = 1;
/// Longest value that is read: a snapshot with the maximum number of replicas, and its header.
const MAX_VALUE_BYTES: usize = 8 << 20;

/// Table of all values. The table and its keys have the names of format version 1.
pub const TABLE: TableDefinition<&str, &[u8]> = TableDefinition::new("kept");
/// Key of the header, which holds the format version and the owner's name.
pub const HEADER_KEY: &str = "head";
pub const VOTER_STATE_KEY: &str = "promises";
pub const LAST_KNOWN_STATE_KEY: &str = "beliefs";

/// Prepends a checksum to `value`, since the database verifies the checksums of its pages only after a crash.
pub fn prepend_checksum(value: &[u8]) -> Vec<u8> {
    [&crc32fast::hash(value).to_be_bytes()[..], value].concat()
}

/// Returns the value that follows the checksum, if the checksum matches and the length is allowed.
pub fn verify_checksum(bytes: &[u8]) -> Option<Vec<u8>> {
    let (checksum, value) = bytes.split_first_chunk::<4>()?;
    let matches = crc32fast::hash(value) == u32::from_be_bytes(*checksum);
    (value.len() <= MAX_VALUE_BYTES && matches).then(|| value.to_vec())
}
