//! Cost of a query, by counts that do not depend on the load of the machine: blocks and bytes allocated, by scenario, with
//! the exchange alone.
//!
//! `hold` writes the figures to a file, `check` fails where one grew by over 5 % and names it. The decisions made on generated
//! streams are held in the same way, by a checksum: an optimization must not change them.

mod decisions;
mod figures;
mod harness;
mod scenarios;

use std::path::{Path, PathBuf};

use anyhow::{Context, Result};
use clap::{Parser, Subcommand};
use figures::{Figures, MARGIN, regressions};

#[derive(Parser)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Print all figures, with times, which are never judged
    Show,
    /// Fail where a figure grew by over 5 % against the file, or a decision changed
    Check { file: PathBuf },
    /// Write today's figures to the file: to raise one on purpose, say why in the commit
    Hold { file: PathBuf },
}

fn main() -> Result<()> {
    let Args { command } = Args::parse();
    let figures = scenarios::measure_all();
    match command {
        Command::Show => {
            for (name, value) in &figures {
                println!("{name:<52} {value:>14.1}");
            }
        }
        Command::Hold { file } => std::fs::write(&file, serde_json::to_string_pretty(&figures)? + "\n")?,
        Command::Check { file } => check(&file, &figures)?,
    }
    Ok(())
}

fn check(file: &Path, figures: &Figures) -> Result<()> {
    let held: Figures = serde_json::from_str(&std::fs::read_to_string(file).context("the file held")?)?;
    let regressions = regressions(&held, figures);
    for line in &regressions {
        eprintln!("{line}");
    }
    if !regressions.is_empty() {
        eprintln!(
            "to raise it on purpose: cargo run --release -p pipitcrank-cost -- hold {}",
            file.display()
        );
        std::process::exit(1);
    }
    println!("{} figures are within {} % of those held", figures.len(), MARGIN * 100.0);
    Ok(())
}

#[cfg(test)]
mod tests;
