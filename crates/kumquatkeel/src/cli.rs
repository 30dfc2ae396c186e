//! Definition of the command line; clap derives the help texts from the doc comments.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};
use kumquatkeel::types::Revision;

/// Serves many bursty models on few accelerators.
#[derive(Debug, Parser)]
#[command(version, about)]
pub(crate) struct Cli {
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// The commands.
#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Validate a document and print every fault as `path: reason`.
    Check {
        /// The document, JSON with comments.
        file: PathBuf,
    },
    /// Commit a document and wait until it is in force everywhere.
    Apply(ApplyArgs),
    /// Show who is alive, the revision in force, the placement and who lags.
    Status {
        /// The entry to ask.
        #[command(flatten)]
        entry: EntryArgs,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
    /// Print a report.
    #[command(subcommand)]
    Report(Report),
    /// Join log lines from standard input into the story of one request.
    Explain {
        /// The caller's id of the attempt.
        request: String,
    },
    /// Run the whole system with stand-ins in one process on loopback.
    Demo {
        /// Send sample calls, check their answers and stop.
        #[arg(long)]
        once: bool,
    },
    /// Run a stand-in for the platform or for a target, to try the daemons without the real ones.
    #[command(subcommand)]
    StandIn(StandIn),
    /// Measure decisions and costs.
    #[command(subcommand)]
    Measure(Measure),
}

/// The entry to ask, and the operator's key.
#[derive(Debug, Args)]
pub(crate) struct EntryArgs {
    /// The caller address of an entry.
    #[arg(long, default_value = "127.0.0.1:8080")]
    pub entry: SocketAddr,
    /// The file with the operator's key.
    #[arg(long, env = "KUMQUATKEEL_OPERATOR_KEY_FILE")]
    pub key_file: PathBuf,
}

/// What `apply` needs.
#[derive(Debug, Args)]
pub(crate) struct ApplyArgs {
    /// The document, JSON with comments.
    pub file: PathBuf,
    /// The entry to ask.
    #[command(flatten)]
    pub entry: EntryArgs,
    /// The revision that the document was made from, to detect another operator's change; the
    /// revision in force when left out.
    #[arg(long, value_parser = parse_revision)]
    pub base: Option<Revision>,
    /// Seconds to wait until the document is in force everywhere; 0 does not wait.
    #[arg(long, default_value_t = 30)]
    pub wait_s: u64,
}

/// The reports.
#[derive(Debug, Subcommand)]
pub(crate) enum Report {
    /// How fast each service spends its error budget.
    Burn(BurnArgs),
}

/// What `report burn` needs.
#[derive(Debug, Args)]
pub(crate) struct BurnArgs {
    /// The entries whose counts are added up.
    #[arg(long = "entry", default_value = "127.0.0.1:8080")]
    pub entries: Vec<SocketAddr>,
    /// The file with the operator's key.
    #[arg(long, env = "KUMQUATKEEL_OPERATOR_KEY_FILE")]
    pub key_file: PathBuf,
    /// Print JSON.
    #[arg(long)]
    pub json: bool,
    /// Write a plot of the burn rates to this SVG file.
    #[arg(long)]
    pub svg: Option<PathBuf>,
}

/// The stand-ins; each runs until it is interrupted.
#[derive(Debug, Subcommand)]
pub(crate) enum StandIn {
    /// The platform: its object API and its list of instances, kept in memory.
    Platform {
        /// The address to listen on.
        #[arg(long)]
        listen: SocketAddr,
    },
    /// A target of a document: a model engine or a plain service.
    Target {
        /// The target's name in the document.
        name: String,
        /// The document, JSON with comments.
        #[arg(long)]
        document: PathBuf,
        /// The address to listen on.
        #[arg(long)]
        listen: SocketAddr,
    },
}

/// The measurements.
#[derive(Debug, Subcommand)]
pub(crate) enum Measure {
    /// Attainment and moves of each policy, one JSON object a line.
    Policy(PolicyArgs),
    /// Bytes, processor time and memory of each role at several sizes.
    Slopes {
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
}

/// What `measure policy` needs.
#[derive(Debug, Args)]
pub(crate) struct PolicyArgs {
    /// The workload: `cooperative` or `association`; both when left out.
    #[arg(long)]
    pub workload: Option<String>,
    /// The seed of all random numbers.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Inject faults.
    #[arg(long)]
    pub faults: bool,
    /// The weight of moves against attainment, from 0 to 1; the document's default when left out.
    #[arg(long)]
    pub moves_weight: Option<f64>,
    /// The offered load, as a multiple of the workload's.
    #[arg(long, default_value_t = 1.0)]
    pub load: f64,
    /// Only this policy.
    #[arg(long)]
    pub policy: Option<String>,
    /// Print JSON.
    #[arg(long)]
    pub json: bool,
}

fn parse_revision(text: &str) -> Result<Revision, std::num::ParseIntError> {
    text.parse().map(Revision)
}
