//! Upgrade under load. `book` decides who serves when, `division` what each of two processes may spend, `snapshot`
//! is the form in which what is known passes; `passing` carries messages with descriptors. Only `passing` does I/O.

pub mod book;
pub mod division;
pub mod passing;
pub mod snapshot;
pub mod words;
