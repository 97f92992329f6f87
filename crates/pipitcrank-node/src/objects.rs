//! Objects of JSON cut out of a stream of bytes, however it is broken into lines and pieces. What is in them is read
//! elsewhere.

use bytes::{Buf, BytesMut};

#[derive(Debug, PartialEq)]
pub enum Spoilt {
    /// Something that is no object stands between two.
    Between,
    /// An object of more bytes than are taken.
    TooLong,
}

/// Holds what of the next object has come.
pub struct Objects {
    longest: usize,
    buffer: BytesMut,
    /// Bytes of it looked at: each is looked at once.
    seen: usize,
    depth: u32,
    /// Within a text, and behind a backslash there.
    text: bool,
    escaped: bool,
}

impl Objects {
    /// None is longer than so many bytes.
    pub fn new(longest: usize) -> Objects {
        Objects { longest, buffer: BytesMut::new(), seen: 0, depth: 0, text: false, escaped: false }
    }

    pub fn came(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next one that has come whole.
    pub fn take(&mut self) -> Result<Option<BytesMut>, Spoilt> {
        if self.depth == 0 {
            let blank = self.buffer.iter().take_while(|b| b.is_ascii_whitespace()).count();
            self.buffer.advance(blank);
        }
        while let Some(&byte) = self.buffer.get(self.seen) {
            self.seen += 1;
            if self.seen > self.longest {
                return Err(Spoilt::TooLong);
            }
            if self.text {
                let ends = byte == b'"' && !self.escaped;
                self.escaped = byte == b'\\' && !self.escaped;
                self.text = !ends;
                continue;
            }
            match byte {
                b'{' => self.depth += 1,
                _ if self.depth == 0 => return Err(Spoilt::Between),
                b'"' => self.text = true,
                b'}' if self.depth == 1 => {
                    self.depth = 0;
                    return Ok(Some(self.buffer.split_to(std::mem::take(&mut self.seen))));
                }
                b'}' => self.depth -= 1,
                _ => {}
            }
        }
        Ok(None)
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;
    use serde_json::{Value, json};

    use super::*;

    fn list(leaves: usize, name: &str) -> Value {
        let target = |n| json!({"uid": format!("{name}{n}"), "endpoint": "127.0.0.1:1", "pod_group": n, "more": {"x": []}});
        json!({"rev": leaves, "all": true, "targets": (0..leaves).map(target).collect::<Vec<_>>()})
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

        #[test]
        fn whatever_the_lines_and_pieces_the_objects_are_the_same(
            lists in proptest::collection::vec((0usize..6, "[a-z{}\"\\\\\n]{0,6}", any::<bool>(), "[ \n\r\t]{0,3}"), 0..6),
            cuts in proptest::collection::vec(1usize..90, 0..60),
        ) {
            let mut bytes = Vec::new();
            for (leaves, name, indented, between) in &lists {
                let list = list(*leaves, name);
                let text = if *indented { serde_json::to_string_pretty(&list) } else { serde_json::to_string(&list) };
                bytes.extend_from_slice(text.unwrap().as_bytes());
                bytes.extend_from_slice(between.as_bytes());
            }
            let (mut objects, mut found, mut rest) = (Objects::new(1 << 20), Vec::new(), &bytes[..]);
            for cut in cuts.into_iter().chain([usize::MAX]) {
                let (piece, after) = rest.split_at(cut.min(rest.len()));
                objects.came(piece);
                rest = after;
                while let Some(object) = objects.take().unwrap() {
                    found.push(serde_json::from_slice::<Value>(&object).unwrap());
                }
            }
            let wanted: Vec<Value> = lists.iter().map(|(leaves, name, ..)| list(*leaves, name)).collect();
            prop_assert_eq!(found, wanted);
        }
    }

    #[test]
    fn what_is_no_object_or_never_ends_is_not_waited_for() {
        for (bytes, what) in
            [("{} x{}", Spoilt::Between), ("}", Spoilt::Between), ("\"{}\"", Spoilt::Between)]
        {
            let mut objects = Objects::new(100);
            objects.came(bytes.as_bytes());
            let first_bad = std::iter::from_fn(|| objects.take().transpose()).find_map(Result::err);
            assert_eq!(first_bad, Some(what), "{bytes}");
        }
        let mut objects = Objects::new(100);
        objects.came(b"{\"targets\": [");
        assert_eq!(objects.take(), Ok(None));
        objects.came(&[b' '; 100]);
        assert_eq!(objects.take(), Err(Spoilt::TooLong));
    }
}
