use super::*;

fn change(name: &str) -> Change {
    (name.to_owned(), None)
}

#[test]
fn two_changes_that_have_an_effect_together_are_found() {
    let all: Vec<Change> = (0..17).map(|n| change(&format!("k{n}"))).collect();
    let mut tries = 0;
    let found = minimize(all, &mut |changes| {
        tries += 1;
        ["k3", "k12"]
            .iter()
            .all(|name| changes.iter().any(|(key, _)| key == name))
    });
    assert_eq!(found, [change("k3"), change("k12")]);
    assert!(tries < 60, "{tries} tries");
}
