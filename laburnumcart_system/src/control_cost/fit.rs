//! Linear regression, and tables of measurements with their fits.

use std::fmt;

/// Line `intercept + slope x` fitted to points, with the root mean square of its residuals.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// Change of the value for each unit of the size.
    pub slope: f64,
    /// Value at size zero.
    pub intercept: f64,
    /// Root mean square of the residuals.
    pub residual: f64,
}

impl Fit {
    /// Fits a line by least squares; returns `None` for fewer than two different sizes.
    pub fn new(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|p| p.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|p| p.1).sum::<f64>() / count;
        let sum_xx: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
        if sum_xx <= 0.0 {
            return None;
        }
        let sum_xy: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
        let slope = sum_xy / sum_xx;
        let intercept = mean_y - slope * mean_x;
        let squared_residual = |p: &(f64, f64)| (p.1 - intercept - slope * p.0).powi(2);
        let residual = (points.iter().map(squared_residual).sum::<f64>() / count).sqrt();
        Some(Self {
            slope,
            intercept,
            residual,
        })
    }
}

/// Values of several quantities at several sizes; displayed with the fit of each quantity.
#[derive(Clone, Debug)]
pub struct Table {
    title: &'static str,
    size: &'static str,
    columns: Vec<&'static str>,
    rows: Vec<(f64, Vec<f64>)>,
}

impl Table {
    /// Creates an empty table; `size` is the title of the column of sizes.
    pub fn new(title: &'static str, size: &'static str, columns: &[&'static str]) -> Self {
        Self {
            title,
            size,
            columns: columns.to_vec(),
            rows: Vec::new(),
        }
    }

    /// Adds the values at one size, in the order of the columns.
    pub fn push(&mut self, size: f64, values: impl Into<Vec<f64>>) {
        self.rows.push((size, values.into()));
    }

    /// Returns the fit of a column; `None` for fewer than two different sizes.
    pub fn fit(&self, column: usize) -> Option<Fit> {
        let point = |(size, values): &(f64, Vec<f64>)| Some((*size, *values.get(column)?));
        let points: Option<Vec<_>> = self.rows.iter().map(point).collect();
        Fit::new(&points?)
    }

    /// Writes the row of one parameter of the fits.
    fn write_fit_row(
        &self,
        out: &mut fmt::Formatter<'_>,
        name: &str,
        pick: fn(Fit) -> f64,
    ) -> fmt::Result {
        write!(out, "| {name} |")?;
        for column in 0..self.columns.len() {
            match self.fit(column) {
                Some(fit) => write!(out, " {} |", format_number(pick(fit)))?,
                None => write!(out, " |")?,
            }
        }
        writeln!(out)
    }
}

impl fmt::Display for Table {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(out, "{}\n", self.title)?;
        writeln!(out, "| {} | {} |", self.size, self.columns.join(" | "))?;
        writeln!(out, "|---|{}", "---|".repeat(self.columns.len()))?;
        for (size, values) in &self.rows {
            let values: Vec<_> = values.iter().map(|v| format_number(*v)).collect();
            writeln!(out, "| {size} | {} |", values.join(" | "))?;
        }
        self.write_fit_row(out, "slope", |fit| fit.slope)?;
        self.write_fit_row(out, "intercept", |fit| fit.intercept)?;
        self.write_fit_row(out, "residual", |fit| fit.residual)
    }
}

/// Formats a number with a precision that depends on its magnitude.
fn format_number(value: f64) -> String {
    let digits = match value.abs() {
        v if v >= 100.0 || v == 0.0 => 0,
        v if v >= 10.0 => 1,
        v if v >= 1.0 => 2,
        v if v >= 0.01 => 4,
        _ => 6,
    };
    format!("{value:.digits$}")
}
