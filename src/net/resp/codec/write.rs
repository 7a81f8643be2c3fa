//! Encoding of commands and replies.

/// Appends the header of an array (`*`) or bulk string (`$`): its type and length.
pub fn write_head(kind: char, length: usize, output: &mut Vec<u8>) {
    output.extend_from_slice(format!("{kind}{length}\r\n").as_bytes());
}

/// Appends a bulk string.
pub fn write_bulk(bytes: &[u8], output: &mut Vec<u8>) {
    write_head('$', bytes.len(), output);
    output.extend_from_slice(bytes);
    output.extend_from_slice(b"\r\n");
}

/// Appends a command: an array of bulk strings.
pub fn write_command(arguments: &[&[u8]], output: &mut Vec<u8>) {
    write_head('*', arguments.len(), output);
    for argument in arguments {
        write_bulk(argument, output);
    }
}
