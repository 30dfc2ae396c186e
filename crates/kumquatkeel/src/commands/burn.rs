//! `report burn`: shows how fast each service spends its error budget.

mod plot;

use std::collections::BTreeMap;

use kumquatkeel::core::burn::Burn;
use kumquatkeel::types::ServiceName;
use kumquatkeel::types::operator::{BurnCounts, ServiceCounts, WindowCount};
use serde::Serialize;

use crate::cli::BurnArgs;
use crate::client::OperatorClient;
use crate::error::CommandError;

/// Burn rates of one service, summed over the queried entries; one element of the JSON report.
#[derive(Debug, Serialize)]
struct ServiceBurn {
    service: ServiceName,
    #[serde(flatten)]
    burn: Burn,
}

/// Queries the entries, adds up their counts and prints the report.
pub(super) async fn run(args: BurnArgs) -> Result<(), CommandError> {
    let mut totals = BTreeMap::new();
    for &entry in &args.entries {
        add_counts(
            &mut totals,
            OperatorClient::new(entry, &args.key_file)?.burn().await?,
        );
    }
    let services: Vec<_> = totals.into_values().map(service_burn).collect();
    if let Some(path) = &args.svg {
        plot::draw(path, &services)?;
    }
    if args.json {
        println!("{}", serde_json::to_string(&services).unwrap_or_default());
    } else {
        print!("{}", format_table(&services));
    }
    Ok(())
}

/// Adds an entry's counts to the totals, window by window.
fn add_counts(totals: &mut BTreeMap<ServiceName, ServiceCounts>, counts: BurnCounts) {
    for service in counts.services {
        match totals.get_mut(&service.service) {
            None => {
                totals.insert(service.service.clone(), service);
            }
            Some(total) => {
                for (sum, window) in total.windows.iter_mut().zip(service.windows) {
                    sum.good += window.good;
                    sum.bad += window.bad;
                }
            }
        }
    }
}

fn service_burn(counts: ServiceCounts) -> ServiceBurn {
    let burn = Burn::from_counts(counts.objective, counts.windows);
    ServiceBurn {
        service: counts.service,
        burn,
    }
}

fn format_table(services: &[ServiceBurn]) -> String {
    let mut lines = vec![format!(
        "{:<24} {:>9} {:<7} {}",
        "service", "objective", "alert", "burn rate (bad/all) by window"
    )];
    for service in services {
        let windows = service
            .burn
            .windows
            .iter()
            .map(|w| format_window(w.count, w.rate));
        lines.push(format!(
            "{:<24} {:>9.3} {:<7} {}",
            service.service.as_str(),
            service.burn.objective,
            service.burn.alert.to_string(),
            windows.collect::<Vec<_>>().join("  "),
        ));
    }
    lines.join("\n") + "\n"
}

fn format_window(count: WindowCount, rate: f64) -> String {
    let minutes = count.window_s / 60;
    format!(
        "{minutes}m: {rate:.2} ({}/{})",
        count.bad,
        count.good + count.bad
    )
}
