//! The operators' file section on zones, as trials give it to a member.

use std::net::SocketAddr;

/// Secret that all members of a trial share.
pub(super) const SECRET: &str = "a secret of the trial's own";
/// Parts a second that one replica is configured to carry.
const REPLICA_CAPACITY: f64 = 160.0;

/// The section for a member of zone `own`, of (zone, region) pairs: short times, voters with their zones.
pub(super) fn zones_section(
    zones: &[(&str, &str)],
    own: usize,
    listen: SocketAddr,
    known_as: SocketAddr,
    voters: &[SocketAddr],
) -> String {
    let voter_list: Vec<String> = (voters.iter().zip(zones))
        .map(|(address, (zone, _))| format!("{{ address = \"{address}\", zone = \"{zone}\" }}"))
        .collect();
    let zone_list: Vec<String> = zones
        .iter()
        .map(|(name, region)| format!("{{ name = \"{name}\", region = \"{region}\" }}"))
        .collect();
    format!(
        "zones = Some {{ zone = \"{}\", listen = \"{listen}\", known_as = \"{known_as}\", zones = [ {} ] \
         , peers = [] : List Text, voters = [ {} ], secret = \"{SECRET}\", suspect_s = 0.4, hold_down_s = 1.0 \
         , hold_down_most_s = 8.0, calm_s = 6.0, hold_s = 6.0, leaf_bears = {REPLICA_CAPACITY:?}, dry_run = False }}",
        zones[own].0,
        zone_list.join(", "),
        voter_list.join(", "),
    )
}
