//! Delta debugging over configuration changes.

use quartzcleat_config::deployment::Change;

#[cfg(test)]
mod tests;

/// Returns a subset of changes that still has the effect and from which no single change can be left out.
///
/// Expects that all changes together have the effect.
pub(super) fn minimize(
    mut changes: Vec<Change>,
    has_effect: &mut dyn FnMut(&[Change]) -> bool,
) -> Vec<Change> {
    let mut parts = 2;
    while changes.len() >= 2 {
        let size = changes.len().div_ceil(parts);
        let chunks: Vec<Vec<Change>> = changes.chunks(size).map(<[Change]>::to_vec).collect();
        let chunk = chunks
            .iter()
            .find(|chunk| chunk.len() < changes.len() && has_effect(chunk));
        if let Some(chunk) = chunk {
            changes = chunk.clone();
            parts = 2;
            continue;
        }
        let remaining = (0..chunks.len())
            .map(|index| without(&chunks, index))
            .find(|remaining| !remaining.is_empty() && has_effect(remaining));
        if let Some(remaining) = remaining {
            changes = remaining;
            parts = (parts - 1).max(2);
            continue;
        }
        if parts >= changes.len() {
            break;
        }
        parts = (parts * 2).min(changes.len());
    }
    changes
}

/// Returns the changes of all chunks except the one at `index`.
fn without(chunks: &[Vec<Change>], index: usize) -> Vec<Change> {
    let others = chunks
        .iter()
        .enumerate()
        .filter(|(other, _)| *other != index);
    others.flat_map(|(_, chunk)| chunk.clone()).collect()
}
