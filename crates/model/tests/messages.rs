//! Tests of splitting payloads into messages.

use model::{split_into_messages, ByteSize, MAX_MESSAGE_PAYLOAD_BYTES};

#[test]
fn messages_keep_the_order_and_the_payload_limit() {
    let limit = MAX_MESSAGE_PAYLOAD_BYTES.0;
    let table: [(&[u64], &[usize]); 8] = [
        (&[], &[]),
        (&[0], &[1]),
        (&[0, 0, 0], &[3]),
        (&[limit], &[1]),
        (&[limit, 0, 1], &[2, 1]),
        (&[limit + 1, limit + 1], &[1, 1]),
        (&[limit / 2, limit / 2, limit / 2], &[2, 1]),
        (&[1, limit, 1], &[1, 1, 1]),
    ];
    for (sizes, lengths) in table {
        let messages = split_into_messages(sizes.to_vec(), |size| ByteSize(*size));
        let got: Vec<usize> = messages.iter().map(Vec::len).collect();
        assert_eq!(got, lengths, "{sizes:?}");
        assert_eq!(messages.concat(), sizes);
    }
}
