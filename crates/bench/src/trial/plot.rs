//! The picture of a run: a row for each limiter, its actions as the target accepted or rejected them, and its faults
//! over their time.

use plotters::coord::types::RangedCoordf64;
use plotters::prelude::{
    Cartesian2d, ChartBuilder, ChartContext, Color, IntoDrawingArea, IntoFont, RGBColor, Rectangle,
    SVGBackend, Text, GREEN, RED, WHITE,
};
use quartzcleat_decision::api::LimiterIndex;
use quartzcleat_fault_injection::scenario::FaultKind;
use quartzcleat_fault_injection::target::Action;
use quartzcleat_fault_injection::verdict::MarkEvent;
use quartzcleat_fault_injection::{RunReport, Scenario};
use std::error::Error;
use std::path::Path;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// The rows that a picture has room for; other limiters are left out.
const MAX_ROWS: usize = 40;
const WIDTH: u32 = 1_200;
const ROW_HEIGHT: u32 = 36;
const FRAME_HEIGHT: u32 = 140;
/// Half the height of a fault's area, as a part of its row.
const FAULT_HALF_HEIGHT: f64 = 0.42;
const ACCEPTED_HALF_HEIGHT: f64 = 0.2;
const REJECTED_HALF_HEIGHT: f64 = 0.36;
/// Shorter actions would not be visible.
const MIN_ACTION_SECONDS: f64 = 0.002;

const OTHER_COLOUR: RGBColor = RGBColor(120, 160, 220);

type Chart<'a> = ChartContext<'a, SVGBackend<'a>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

/// The time during which a fault lasted at a limiter, in seconds.
struct FaultSpan {
    limiter: LimiterIndex,
    /// The event that began the span: a fault, or a start that failed.
    event: MarkEvent,
    from: f64,
    to: f64,
}

/// The faults with their ends; a fault without one lasts to the end of the run.
fn fault_spans(report: &RunReport) -> Vec<FaultSpan> {
    let end = report.duration.as_secs_f64();
    let mut spans: Vec<FaultSpan> = Vec::new();
    for mark in &report.marks {
        if let MarkEvent::Over(kind) = mark.event {
            let open = spans.iter_mut().find(|span| {
                span.limiter == mark.limiter
                    && span.event == MarkEvent::Began(kind)
                    && span.to >= end
            });
            if let Some(span) = open {
                span.to = mark.at.as_secs_f64();
            }
            continue;
        }
        spans.push(FaultSpan {
            limiter: mark.limiter,
            event: mark.event,
            from: mark.at.as_secs_f64(),
            to: end,
        });
    }
    spans
}

fn colour(event: MarkEvent) -> RGBColor {
    let (MarkEvent::Began(kind) | MarkEvent::Over(kind)) = event else {
        return OTHER_COLOUR;
    };
    match kind {
        FaultKind::Pause => RGBColor(150, 150, 150),
        FaultKind::Kill | FaultKind::Terminate => RGBColor(60, 60, 60),
        FaultKind::Isolate | FaultKind::Partition => RGBColor(230, 120, 30),
        FaultKind::DropOutbound | FaultKind::DropInbound => RGBColor(240, 190, 90),
        FaultKind::DelayActions | FaultKind::DelayAnswers | FaultKind::ResetConnections => {
            OTHER_COLOUR
        }
    }
}

/// The limiters that have a row: those with an action or a fault, in their order.
struct Rows(Vec<LimiterIndex>);

impl Rows {
    fn of(report: &RunReport, spans: &[FaultSpan]) -> Self {
        let acted = report
            .actions
            .iter()
            .map(|action| LimiterIndex(action.token.proposer));
        let faulty = spans.iter().map(|span| span.limiter);
        let mut limiters: Vec<LimiterIndex> = acted.chain(faulty).collect();
        limiters.sort_unstable();
        limiters.dedup();
        limiters.truncate(MAX_ROWS);
        Rows(limiters)
    }

    fn position(&self, limiter: LimiterIndex) -> Option<f64> {
        let row = self.0.binary_search(&limiter).ok()?;
        Some(row as f64)
    }

    /// The label at a position, which is empty between rows.
    fn label(&self, position: f64) -> String {
        let nearest = position.round();
        if nearest < 0.0 || (position - nearest).abs() >= 0.01 {
            return String::new();
        }
        match self.0.get(nearest as usize) {
            Some(limiter) => format!("limiter {limiter}"),
            None => String::new(),
        }
    }
}

/// Draws a run into an SVG file.
///
/// # Errors
/// Fails where the drawing library or the file does.
pub(super) fn draw(
    file: &Path,
    scenario: &Scenario,
    seed: u64,
    report: &RunReport,
) -> Result<(), Box<dyn Error + Send + Sync>> {
    let spans = fault_spans(report);
    let rows = Rows::of(report, &spans);
    let row_count = rows.0.len();
    let height = FRAME_HEIGHT + ROW_HEIGHT * row_count as u32;
    let root = SVGBackend::new(file, (WIDTH, height)).into_drawing_area();
    root.fill(&WHITE)?;
    let title = format!(
        "seed {seed}: {} limiters, {} acceptors; operations accepted (green), rejected (red)",
        scenario.limiters, scenario.acceptors
    );
    let duration: Duration = report.duration;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 16))
        .margin(12)
        .x_label_area_size(34)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..duration.as_secs_f64(), -0.6..row_count as f64 - 0.4)?;
    chart
        .configure_mesh()
        .x_desc("s")
        .y_labels(row_count + 2)
        .y_label_formatter(&|position| rows.label(*position))
        .disable_y_mesh()
        .draw()?;
    for span in &spans {
        draw_fault(&mut chart, &rows, span)?;
    }
    for action in &report.actions {
        draw_action(&mut chart, &rows, action)?;
    }
    root.present()?;
    Ok(())
}

fn draw_fault(
    chart: &mut Chart<'_>,
    rows: &Rows,
    span: &FaultSpan,
) -> Result<(), Box<dyn Error + Send + Sync>> {
    let Some(row) = rows.position(span.limiter) else {
        return Ok(());
    };
    let area = [
        (span.from, row - FAULT_HALF_HEIGHT),
        (span.to, row + FAULT_HALF_HEIGHT),
    ];
    let style = colour(span.event).mix(0.45).filled();
    chart.draw_series([Rectangle::new(area, style)])?;
    let font = ("sans-serif", 11).into_font();
    let position = (span.from, row + 0.4);
    chart.draw_series([Text::new(span.event.to_string(), position, font)])?;
    Ok(())
}

fn draw_action(
    chart: &mut Chart<'_>,
    rows: &Rows,
    action: &Action,
) -> Result<(), Box<dyn Error + Send + Sync>> {
    let Some(row) = rows.position(LimiterIndex(action.token.proposer)) else {
        return Ok(());
    };
    let from = action.from.as_secs_f64();
    let to = action.to.as_secs_f64().max(from + MIN_ACTION_SECONDS);
    let (half_height, style) = if action.accepted {
        (ACCEPTED_HALF_HEIGHT, GREEN.filled())
    } else {
        (REJECTED_HALF_HEIGHT, RED.filled())
    };
    let area = [(from, row - half_height), (to, row + half_height)];
    chart.draw_series([Rectangle::new(area, style)])?;
    Ok(())
}
