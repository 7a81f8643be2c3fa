//! A failing story made smaller: fewer faults, fewer limiters, shorter faults, an earlier end. Knows no processes: whether
//! a smaller one still fails is asked of who plays it.

use crate::Story;

/// Makes a story smaller as long as it still fails. `fails` should play it more than once: processes are not the same twice.
pub fn shrink(story: Story, mut fails: impl FnMut(&Story) -> bool) -> Story {
    let mut held = story;
    loop {
        let smaller = candidates(&held)
            .into_iter()
            .find(|candidate| fails(candidate));
        match smaller {
            Some(smaller) => held = smaller,
            None => return held,
        }
    }
}

/// What is one step smaller, the greatest steps first.
fn candidates(story: &Story) -> Vec<Story> {
    let mut all = Vec::new();
    if story.faults.len() > 2 {
        let half = story.faults.len() / 2;
        all.push(Story {
            faults: story.faults[..half].to_vec(),
            ..story.clone()
        });
        all.push(Story {
            faults: story.faults[half..].to_vec(),
            ..story.clone()
        });
    }
    for number in 0..story.faults.len() {
        let mut fewer = story.clone();
        fewer.faults.remove(number);
        all.push(fewer);
    }
    // Voters stay a majority of what is left, and odd.
    for limiters in [story.voters, story.limiters.div_ceil(2)] {
        if limiters >= story.voters && limiters < story.limiters {
            all.push(Story {
                limiters,
                ..story.clone()
            });
        }
    }
    if story.voters > 3 {
        all.push(Story {
            voters: 3,
            ..story.clone()
        });
    }
    // Nothing happens after the last fault is over and two leases have passed.
    let over = story
        .faults
        .iter()
        .map(|fault| fault.at + fault.lasts)
        .max()
        .unwrap_or_default();
    let end = over + story.length * 2;
    if end < story.end {
        all.push(Story {
            end,
            ..story.clone()
        });
    }
    for number in 0..story.faults.len() {
        if story.faults[number].lasts > story.length * 2 {
            let mut shorter = story.clone();
            shorter.faults[number].lasts /= 2;
            all.push(shorter);
        }
    }
    all
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_a_failure_needs_is_kept_and_all_else_goes() {
        let text = include_str!("../../../deploy/trials/thirty.yaml");
        let story = Story::read("thirty.yaml", text).expect("sound").spelled(3);
        let kind = story.faults[2].what;
        let needed = |story: &Story| story.faults.iter().any(|fault| fault.what == kind);
        let mut asked = 0;
        let small = shrink(story.clone(), |candidate| {
            asked += 1;
            needed(candidate)
        });
        assert_eq!(
            (small.faults.len(), small.limiters, small.voters),
            (1, 3, 3)
        );
        assert_eq!(small.faults[0].what, kind);
        assert!(small.end < story.end && small.faults[0].lasts <= story.length * 2);
        assert!(asked < 60, "{asked} candidates were played");
        // What always fails shrinks to nothing at all; what never does again stays as it is.
        assert!(shrink(story.clone(), |_| true).faults.is_empty());
        assert_eq!(shrink(story.clone(), |_| false), story);
    }
}
