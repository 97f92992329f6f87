//! Three nodes decide on zones in common. At one of them an upgrade fails: the new process crashes seconds after its start.

use std::path::PathBuf;
use std::sync::Arc;

use crate::base::*;

struct Place {
    listen: std::net::SocketAddr,
    operators: PathBuf,
    pid: u32,
}

/// Process ids of the workers that the supervisor's log names, oldest first.
fn workers(log: &str) -> Vec<u32> {
    let started = log.lines().filter(|line| line.contains("worker started"));
    let pid = |line: &str| {
        let digits: String = line.split("pid=").nth(1)?.chars().filter(|c| !c.is_whitespace()).collect();
        let digits: String =
            digits.trim_start_matches("Some(").chars().take_while(char::is_ascii_digit).collect();
        digits.parse().ok()
    };
    started.filter_map(pid).collect()
}

pub fn run(case: &str) -> ! {
    let mut stage = Stage::new(case);
    let (record, attempts) = (stage.record.clone(), Attempts::default());
    let behave: Behave = Arc::new(|part: &Part| (40, format!("made-for-{}", part.text)));
    let names = ["a", "b", "c"];
    let mut targets = Vec::new();
    for zone in names {
        for cell in 0..2 {
            let (name, address) = (format!("r-{zone}{cell}"), local(free_port()));
            replica(&name, &[address], behave.clone(), attempts.clone(), record.clone());
            targets.push(Target { zone: zone.to_string(), ..Target::new(&name, address, cell) });
        }
    }
    let agent = Agent::new(5, &targets);
    let ports = [free_port(), free_port(), free_port()];
    let voters: Vec<String> = (0..3)
        .map(|n| format!("{{ address = \"127.0.0.1:{}\", zone = \"{}\" }}", ports[n], names[n]))
        .collect();
    let zones: Vec<String> =
        names.iter().map(|z| format!("{{ name = \"{z}\", region = \"north\" }}")).collect();
    let import = stage.root.join("deploy/operators.dhall");
    let classes = [Class { name: "farm-view", effect: "safe", aim_s: 2.5, limit_s: 6.0, window_s: 0.0 }];
    let mut places: Vec<Place> = Vec::new();
    for n in 0..3 {
        let listen = local(free_port());
        let node = Node {
            name: names[n],
            listen,
            discovery: agent.address,
            known: list_json(5, true, &targets),
            classes: &classes,
            terms: &PAMPA,
        };
        let config = stage.write(&format!("{}.json", names[n]), &node.json());
        let text = format!(
            "let Operators = {}\nin Operators::{{ upgrade = Some Operators.Upgrade.default, zones = Some Operators.Zones::{{ zone = \"{}\", listen = \"127.0.0.1:{}\", zones = [ {} ], voters = [ {} ], secret = \"sixteen or more characters\" }} }}\n",
            import.display(),
            names[n],
            ports[n],
            zones.join(", "),
            voters.join(", ")
        );
        let operators = stage.write(&format!("{}.dhall", names[n]), &text);
        let pid = stage.start(names[n], &config, Some(&operators));
        places.push(Place { listen, operators, pid });
    }
    let show = |stage: &Stage, n: usize| {
        let path = places[n].operators.to_string_lossy().to_string();
        stage.command(&["zones", "show", "--operators", &path])
    };
    let stand = wait_for(30_000, || (0..3).all(|n| show(&stage, n).1.contains("following")));
    if !stand {
        let log = stage.log_of("a");
        stage.end(Err(format!("the nodes do not follow a decision: {log}")));
    }
    if stage.trouble {
        record.line("SIGUSR2 at a: an upgrade");
        signal(places[0].pid, SIGUSR2);
        if !wait_for(10_000, || stage.log_of("a").contains("handover begins")) {
            let log = stage.log_of("a");
            stage.end(Err(format!("no handover began: {log}")));
        }
        sleep_ms(1500);
        let log = stage.log_of("a");
        let Some(new) = workers(&log).get(1).copied() else {
            stage.end(Err(format!("the new process is not named: {log}")))
        };
        record.line("the new process at a crashes");
        signal(new, SIGKILL);
        if !wait_for(10_000, || counter(places[0].listen, "upgrades undone") == 1) {
            stage.end(Err("the upgrade was not undone".to_string()));
        }
        record.line("the upgrade at a is undone, the old process serves");
    }
    sleep_ms(10_000);
    // An operator drains zone a. The other two voters are a majority.
    let path = places[1].operators.to_string_lossy().to_string();
    let is_drained = wait_for(20_000, || stage.command(&["zones", "drain", "a", "--operators", &path]).0);
    if !is_drained {
        stage.end(Err("the drain of zone a was not decided".to_string()));
    }
    sleep_ms(10_000);
    let mut breaks = Vec::new();
    for n in 0..3 {
        let before = attempts.lock().unwrap().len();
        for q in 0..20 {
            let (id, text) = (format!("q{n}x{q}"), format!("view{n}x{q}"));
            let query = Query {
                class: "farm-view",
                id: &id,
                shards: &[q % 8],
                deadline_ms: 3000,
                key: None,
                text: &text,
                patience_ms: 3500,
            };
            ask(places[n].listen, &query, &record);
        }
        let sent =
            attempts.lock().unwrap()[before..].iter().filter(|a| a.part.replica.starts_with("r-a")).count();
        record.line(&format!("node {} sent {sent} of 20 parts to zone a", names[n]));
        if sent > 0 {
            breaks.push(format!("node {} sent {sent} of 20 parts to zone a, more than 10 s after it was drained by common decision", names[n]));
        }
    }
    for n in 0..3 {
        show(&stage, n);
    }
    stage.end(Ok(breaks))
}
