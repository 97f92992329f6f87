//! The `zones` section of the operators' file that trials pass to a member.

use std::net::SocketAddr;

/// Secret shared by all members of a trial.
pub(super) const SECRET: &str = "a secret of the trial's own";
/// Configured capacity of one replica, in parts per second.
const REPLICA_CAPACITY: f64 = 160.0;

/// Builds the `zones` section for a member of the zone at index `own`, with time settings of a few seconds to keep the
/// trial short. `zones` holds (zone, region) pairs; voter `n` is in zone `n`.
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
