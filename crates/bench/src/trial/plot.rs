//! The picture of a trial: a row for each limiter, its acts as the target let them in or refused them, and the faults
//! that struck it over their time.

use plotters::prelude::*;
use quartzcleat_fault_injection::{Played, Story};
use std::error::Error;
use std::path::Path;
use std::time::Duration;

/// Rows that a picture has room for; others' limiters are left out.
const MOST_ROWS: usize = 40;

/// A stretch of time in which a fault held a limiter.
struct Struck {
    limiter: usize,
    what: String,
    from: f64,
    to: f64,
}

fn seconds(time: Duration) -> f64 {
    time.as_secs_f64()
}

/// Faults with their ends; one that no end was marked of goes on to the last.
fn stretches(played: &Played) -> Vec<Struck> {
    let mut all: Vec<Struck> = Vec::new();
    for mark in &played.marks {
        let Some(limiter) = mark.limiter else {
            continue;
        };
        match mark.what.strip_suffix(" over") {
            None => all.push(Struck {
                limiter,
                what: mark.what.clone(),
                from: seconds(mark.at),
                to: seconds(played.lasted),
            }),
            Some(what) => {
                let open = |struck: &&mut Struck| {
                    struck.limiter == limiter
                        && struck.what == what
                        && struck.to >= seconds(played.lasted)
                };
                if let Some(struck) = all.iter_mut().find(open) {
                    struck.to = seconds(mark.at);
                }
            }
        }
    }
    all
}

fn colour(what: &str) -> RGBColor {
    match what {
        "pause" => RGBColor(150, 150, 150),
        "kill" | "end" => RGBColor(60, 60, 60),
        "cut" | "split" => RGBColor(230, 120, 30),
        "mute" | "deaf" => RGBColor(240, 190, 90),
        _ => RGBColor(120, 160, 220),
    }
}

/// Draws it.
pub fn draw(file: &Path, story: &Story, seed: u64, played: &Played) -> Result<(), Box<dyn Error>> {
    // Those that acted or were struck, by number.
    let struck = stretches(played);
    let mut rows: Vec<usize> = played
        .seen
        .iter()
        .map(|act| act.token.proposer as usize)
        .collect();
    rows.extend(struck.iter().map(|struck| struck.limiter));
    rows.sort_unstable();
    rows.dedup();
    rows.truncate(MOST_ROWS);
    let place = |limiter: usize| rows.binary_search(&limiter).ok().map(|row| row as f64);
    let root = SVGBackend::new(file, (1_200, 140 + 36 * rows.len() as u32)).into_drawing_area();
    root.fill(&WHITE)?;
    let title = format!(
        "seed {seed}: {} limiters, {} voters; acts let in (green), refused (red)",
        story.limiters, story.voters
    );
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 16))
        .margin(12)
        .x_label_area_size(34)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..seconds(played.lasted), -0.6..rows.len() as f64 - 0.4)?;
    let label = |row: &f64| {
        let near = row.round();
        let limiter = rows
            .get(near as usize)
            .filter(|_| (row - near).abs() < 0.01 && near >= 0.0);
        limiter.map_or(String::new(), |limiter| format!("limiter {limiter}"))
    };
    chart
        .configure_mesh()
        .x_desc("s")
        .y_labels(rows.len() + 2)
        .y_label_formatter(&label)
        .disable_y_mesh()
        .draw()?;
    for stretch in &struck {
        let Some(row) = place(stretch.limiter) else {
            continue;
        };
        let area = [(stretch.from, row - 0.42), (stretch.to, row + 0.42)];
        chart.draw_series([Rectangle::new(
            area,
            colour(&stretch.what).mix(0.45).filled(),
        )])?;
        let style = ("sans-serif", 11).into_font();
        chart.draw_series([Text::new(
            stretch.what.clone(),
            (stretch.from, row + 0.4),
            style,
        )])?;
    }
    for act in &played.seen {
        let Some(row) = place(act.token.proposer as usize) else {
            continue;
        };
        let (from, to) = (
            seconds(act.from),
            seconds(act.to).max(seconds(act.from) + 0.002),
        );
        let (height, paint) = if act.accepted {
            (0.2, GREEN.filled())
        } else {
            (0.36, RED.filled())
        };
        chart.draw_series([Rectangle::new(
            [(from, row - height), (to, row + height)],
            paint,
        )])?;
    }
    root.present()?;
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;
    use quartzcleat_fault_injection::verdict::Mark;

    #[test]
    fn faults_have_their_ends_and_a_picture_tells_them() {
        let mark = |at, what: &str| Mark {
            at: Duration::from_secs(at),
            limiter: Some(1),
            what: what.into(),
        };
        let marks = vec![
            mark(1, "pause"),
            mark(2, "pause over"),
            mark(3, "pause"),
            mark(4, "cut"),
        ];
        let played = Played {
            marks,
            lasted: Duration::from_secs(5),
            ..Played::default()
        };
        let all: Vec<_> = stretches(&played)
            .iter()
            .map(|s| (s.what.clone(), s.from, s.to))
            .collect();
        assert_eq!(
            all,
            [
                ("pause".into(), 1.0, 2.0),
                ("pause".into(), 3.0, 5.0),
                ("cut".to_owned(), 4.0, 5.0)
            ]
        );
        let story = Story::read("s.yaml", "limiters: 3\nvoters: 3\nend: 5s\n").expect("sound");
        let file =
            std::env::temp_dir().join(format!("quartzcleat-plot-{}.svg", std::process::id()));
        draw(&file, &story, 1, &played).expect("it is drawn");
        let text = std::fs::read_to_string(&file).expect("it is there");
        let _ = std::fs::remove_file(&file);
        assert!(
            text.contains("limiter 1") && text.contains("pause") && text.contains("cut"),
            "{text}"
        );
    }
}
