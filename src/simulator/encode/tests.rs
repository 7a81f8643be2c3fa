//! Lines that carry text of any form.

use super::*;

#[test]
fn panic_text_becomes_one_field_of_one_line() {
    let mut reply = String::new();
    encode_panic("two\tservers\nknown", &mut reply);
    assert_eq!(reply, "BUG\ttwo servers known\n");
}
