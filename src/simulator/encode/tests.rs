//! Tests of lines that carry free text.

use super::*;

#[test]
fn panic_text_is_encoded_as_one_field_of_one_line() {
    let mut reply = String::new();
    encode_panic("two\tservers\nknown", &mut reply);
    assert_eq!(reply, "BUG\ttwo servers known\n");
}
