//! Two sites joined by the gateway: north, where clients ask, and south, to which parts are forwarded.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use crate::base::*;

struct Sites {
    stage: Stage,
    north: SocketAddr,
    way: Way,
}

struct Setup<'a> {
    classes: &'a [Class],
    terms: &'a Terms,
    /// Name of the site, name of the replica, its cell.
    replicas: &'a [(&'a str, &'a str, u32)],
    behave: Behave,
    attempts: Attempts,
    prefer_near_s: f64,
}

fn operators(
    stage: &Stage,
    site: &str,
    listen: SocketAddr,
    other: &str,
    at: SocketAddr,
    prefer: f64,
) -> std::path::PathBuf {
    let import = stage.root.join("deploy/operators.dhall");
    let text = format!(
        "let Operators = {}\nin Operators::{{ gateway = Some Operators.Gateway::{{ site = \"{site}\", listen = \"{listen}\", sites = [ {{ name = \"{other}\", address = \"{at}\" }} ], connections = 2, prefer_near_s = {prefer:?} }}, logs = Some Operators.Logs::{{ levels = \"info,pipitcrank::requests=debug\" }} }}\n",
        import.display()
    );
    stage.write(&format!("{site}.dhall"), &text)
}

fn set_up(case: &str, setup: &Setup) -> Sites {
    let mut stage = Stage::new(case);
    let record = stage.record.clone();
    let links = [local(free_port()), local(free_port())];
    let way = Way::default();
    // North reaches south by the way; south reaches north directly.
    let to_south = way.open(links[1]);
    let mut addresses = Vec::new();
    for (n, site) in ["north", "south"].iter().enumerate() {
        let mut targets = Vec::new();
        for (_, name, cell) in setup.replicas.iter().filter(|(at, ..)| at == site) {
            let address = local(free_port());
            replica(name, &[address], setup.behave.clone(), setup.attempts.clone(), record.clone());
            targets.push(Target::new(name, address, *cell));
        }
        let listen = local(free_port());
        let node = Node {
            name: site,
            listen,
            discovery: discovery(5, targets.clone()),
            known: list_json(5, true, &targets),
            classes: setup.classes,
            terms: setup.terms,
        };
        let config = stage.write(&format!("{site}.json"), &node.json());
        let (other, at) = if n == 0 { ("south", to_south) } else { ("north", links[0]) };
        let file = operators(&stage, site, links[n], other, at, setup.prefer_near_s);
        stage.start(site, &config, Some(&file));
        addresses.push(listen);
    }
    let ready = |address| get(address, "/up").is_some_and(|(status, _)| status == 200);
    let is_ready = wait_for(15_000, || {
        ready(addresses[0]) && ready(addresses[1]) && counter(addresses[0], "sites opened") > 0
    });
    if !is_ready {
        let log = stage.log_of("north") + &stage.log_of("south");
        stage.end(Err(format!("the sites are not ready: {log}")));
    }
    sleep_ms(1500);
    Sites { stage, north: addresses[0], way }
}

/// The query that a part belongs to is told by its text.
fn arrivals(attempts: &Attempts, text: &str) -> Vec<Attempt> {
    let mut found: Vec<Attempt> =
        attempts.lock().unwrap().iter().filter(|a| a.part.text == text).cloned().collect();
    found.sort_by_key(|a| a.part.at);
    found
}

/// The way breaks while the other site works on a part. No two attempts of a part may be out at once.
pub fn twice_at_once(case: &str) -> ! {
    let classes = [Class { name: "place-accept", effect: "keyed", aim_s: 1.2, limit_s: 3.0, window_s: 3.0 }];
    let behave: Behave = Arc::new(|part: &Part| (240, format!("checked-{}", part.text)));
    run_with_broken_way(case, &classes, &HALLORANS, behave, Attempts::default(), |found, _| {
        let mut breaks = Vec::new();
        for (n, one) in found.iter().enumerate() {
            for two in &found[n + 1..] {
                let end = one.end.unwrap_or(u64::MAX);
                if two.part.at + 50 < end {
                    breaks.push(format!(
                        "{}: {} had it from {} to {end}, and {} got it at {}",
                        one.part.text, one.part.replica, one.part.at, two.part.replica, two.part.at
                    ));
                }
            }
        }
        breaks
    })
}

/// The way breaks while the other site works on a part; the client gets its answer from a near replica. No part may be
/// sent after the final answer. One replica of the other site is ten times slower than the others.
pub fn after_answer(case: &str) -> ! {
    let classes = [Class { name: "buyer-search", effect: "safe", aim_s: 2.0, limit_s: 4.0, window_s: 0.0 }];
    let behave: Behave = Arc::new(|part: &Part| {
        (if part.replica == "s1" { 1500 } else { 150 }, format!("checked-{}", part.text))
    });
    run_with_broken_way(case, &classes, &AVISOS, behave, Attempts::default(), |found, reply| {
        let Some(reply) = reply else { return Vec::new() };
        let late = found.iter().filter(|a| a.part.at > reply.at + 150);
        late.map(|a| {
            format!(
                "{}: answered with {} at {}, and sent to {} {} ms later",
                a.part.text,
                reply.status,
                reply.at,
                a.part.replica,
                a.part.at - reply.at
            )
        })
        .collect()
    })
}

/// Thirty queries, one after the other, for a shard that both sites hold. All connections between the sites are reset
/// 60 ms after a part has reached the other site.
fn run_with_broken_way(
    case: &str,
    classes: &[Class],
    terms: &Terms,
    behave: Behave,
    attempts: Attempts,
    judge: impl Fn(&[Attempt], Option<&Reply>) -> Vec<String>,
) -> ! {
    let sites = set_up(
        case,
        &Setup {
            classes,
            terms,
            replicas: &[
                ("north", "n1", 0),
                ("north", "n2", 1),
                ("south", "s1", 0),
                ("south", "s2", 0),
                ("south", "s3", 1),
            ],
            behave,
            attempts: attempts.clone(),
            prefer_near_s: 0.0,
        },
    );
    let mut breaks = Vec::new();
    for n in 0..30 {
        let (north, record) = (sites.north, sites.stage.record.clone());
        let (id, text, class) = (format!("q{n}"), format!("check{n}"), classes[0].name);
        let client = {
            let text = text.clone();
            thread::spawn(move || {
                ask(
                    north,
                    &Query {
                        class,
                        id: &id,
                        shards: &[0],
                        deadline_ms: 3000,
                        key: Some(&text),
                        text: &text,
                        patience_ms: 3600,
                    },
                    &record,
                )
            })
        };
        let at_south = || arrivals(&attempts, &text).iter().any(|a| a.part.replica.starts_with('s'));
        if (0..20).any(|_| {
            sleep_ms(10);
            at_south()
        }) && sites.stage.trouble
        {
            sleep_ms(60);
            sites.stage.record.line("all connections between the sites are reset");
            sites.way.reset_all();
        }
        let reply = client.join().unwrap();
        sleep_ms(2000);
        breaks.extend(judge(&arrivals(&attempts, &text), reply.as_ref()));
    }
    sites.stage.end(Ok(breaks))
}
