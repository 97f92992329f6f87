//! Measures the cost of queries in the exchange alone by counts that do not depend on the load of the
//! machine: the number of memory blocks and bytes allocated in each scenario.
//!
//! `hold` writes the figures to a file. `check` compares the current figures with the file; it fails and
//! names each figure that has grown by more than 5 %. The file also contains checksums of the decisions on
//! generated streams, since an optimization must not change decisions.

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
    /// Print all figures, including times, which `check` ignores
    Show,
    /// Compare the current figures with the file; fail if one grew by more than 5 % or a decision changed
    Check { file: PathBuf },
    /// Write the current figures to the file; explain intended growth in the commit message
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
    let held: Figures = serde_json::from_str(
        &std::fs::read_to_string(file).context("failed to read the file of held figures")?,
    )?;
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
