use super::*;

fn change(name: &str) -> Change {
    Change::remove(name)
}

#[test]
fn two_changes_that_have_an_effect_together_are_found() {
    let all: Vec<Change> = (0..17).map(|n| change(&format!("k{n}"))).collect();
    let mut tries = 0;
    let found = minimize(all, &mut |changes| {
        tries += 1;
        ["k3", "k12"]
            .iter()
            .all(|name| changes.iter().any(|change| change.path == *name))
    });
    assert_eq!(found, [change("k3"), change("k12")]);
    assert!(tries < 60, "{tries} tries");
}
