//! Splitting of log text into writes.

use kumquatkeel_serving::logging::chunk_lines;
use proptest::prelude::*;

proptest! {
    /// A reader that truncates each write at the limit still gets whole lines.
    #[test]
    fn chunks_hold_whole_lines_in_order(
        lines in proptest::collection::vec("[a-z]{0,40}", 0..40),
        limit in 1_usize..100,
    ) {
        let mut text = lines.join("\n");
        text.push('\n');
        let chunks = chunk_lines(text.as_bytes(), limit);
        prop_assert_eq!(chunks.concat(), text.as_bytes());
        for chunk in chunks {
            prop_assert_eq!(chunk.last(), Some(&b'\n'));
            let lines = chunk.split_inclusive(|byte| *byte == b'\n').count();
            prop_assert!(chunk.len() <= limit || lines == 1);
        }
    }
}
