//! Markdown tables of results.

use std::{
    collections,
    fmt,
    fmt::Write, //
};

use laburnumcart::id;

use crate::measure::{
    figures,
    runner, //
};

/// Tables of results.
#[derive(Debug)]
pub struct Tables<'a> {
    /// Results in the order of the rows.
    pub outcomes: &'a [runner::Outcome],
    /// Weights of the teams.
    pub weights: collections::BTreeMap<id::TeamName, u32>,
}

impl fmt::Display for Tables<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.write_totals(f)?;
        self.write_stages(f)?;
        self.write_teams(f)?;
        self.write_refusals(f)
    }
}

impl Tables<'_> {
    fn write_totals(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "### In all\n")?;
        writeln!(
            f,
            "| case (load average) | way | attainment, % | of idempotent, % | p50, ms | p99, ms \
             | goodput, /s | useful, ms | wasted, ms | wrong | lost | ran twice |"
        )?;
        writeln!(f, "|---|---|---|---|---|---|---|---|---|---|---|---|")?;
        for outcome in self.outcomes {
            for (strategy, figures) in &outcome.strategies {
                writeln!(
                    f,
                    "| {} ({:.0}) | {strategy} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} |",
                    outcome.case,
                    outcome.load_average.mid,
                    format_spread(figures.attainment.scale(100.0), 1),
                    format_spread(figures.idempotent.scale(100.0), 1),
                    format_spread(figures.p50, 0),
                    format_spread(figures.p99, 0),
                    format_spread(figures.goodput, 0),
                    format_spread(figures.useful.scale(1e3), 0),
                    format_spread(figures.wasted.scale(1e3), 1),
                    figures.wrong,
                    figures.lost,
                    figures.repeated,
                )?;
            }
        }
        writeln!(f)
    }

    fn write_stages(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names = self.outcomes.iter().flat_map(|o| &o.strategies);
        let names = names.flat_map(|(_, figures)| figures.stages.keys());
        let names: collections::BTreeSet<_> = names.collect();
        writeln!(f, "### Cost by stage: useful + wasted, ms\n")?;
        let titles: String = names.iter().map(|name| format!(" {name} |")).collect();
        writeln!(f, "| case | way |{titles}")?;
        writeln!(f, "|---|---|{}", "---|".repeat(names.len()))?;
        for outcome in self.outcomes {
            for (strategy, figures) in &outcome.strategies {
                write!(f, "| {} | {strategy} |", outcome.case)?;
                for name in &names {
                    let cost = figures.stages.get(*name).copied().unwrap_or_default();
                    let (useful, wasted) = (cost.useful.mid * 1e3, cost.wasted.mid * 1e3);
                    write!(f, " {useful:.1} + {wasted:.1} |")?;
                }
                writeln!(f)?;
            }
        }
        writeln!(f)
    }

    fn write_teams(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let all: u32 = self.weights.values().sum();
        writeln!(f, "### By team\n")?;
        let strategies: Vec<_> = runner::STRATEGIES
            .iter()
            .map(|strategy| format!("{strategy}"))
            .collect();
        let titles: Vec<_> = strategies
            .iter()
            .map(|strategy| format!("{strategy}: attainment, % | share, %"))
            .collect();
        writeln!(
            f,
            "| case | team | promised share, % | offered, /s | {} |",
            titles.join(" | ")
        )?;
        writeln!(
            f,
            "|---|---|---|---|{}",
            "---|---|".repeat(strategies.len())
        )?;
        for outcome in self.outcomes {
            for (team, weight) in &self.weights {
                let promised = 100.0 * f64::from(*weight) / f64::from(all.max(1));
                let mut row = String::new();
                let mut offered = 0.0;
                for (_, figures) in &outcome.strategies {
                    let own = figures.teams.get(team).copied().unwrap_or_default();
                    let sum: f64 = figures.teams.values().map(|t| t.goodput.mid).sum();
                    offered = own.offered.mid;
                    let share = 100.0 * own.goodput.mid / sum.max(f64::MIN_POSITIVE);
                    let attainment = format_spread(own.attainment.scale(100.0), 1);
                    write!(row, " {attainment} | {share:.0} |")?;
                }
                let case = &outcome.case;
                writeln!(f, "| {case} | {team} | {promised:.0} | {offered:.0} |{row}")?;
            }
        }
        writeln!(f)
    }

    fn write_refusals(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "### Refusals and failures, all repetitions\n")?;
        writeln!(f, "| case | way | verdict, reason and count |")?;
        writeln!(f, "|---|---|---|")?;
        for outcome in self.outcomes {
            for (strategy, figures) in &outcome.strategies {
                let causes = figures.refused.iter();
                let causes: Vec<_> = causes.map(|(c, n)| format!("{c}: {n}")).collect();
                if !causes.is_empty() {
                    writeln!(
                        f,
                        "| {} | {strategy} | {} |",
                        outcome.case,
                        causes.join("; ")
                    )?;
                }
            }
        }
        Ok(())
    }
}

/// Formats a median with its minimum and maximum.
fn format_spread(spread: figures::Spread, digits: usize) -> String {
    let figures::Spread { low, mid, high } = spread;
    format!("{mid:.digits$} ({low:.digits$} to {high:.digits$})")
}
