//! Why a link ended, or was not made.

/// Why a link ended, or was not made, on either side.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}", self.name())]
pub(crate) enum LinkEnd {
    /// The peer closed the connection.
    Closed,
    /// Reading or writing failed.
    Reset,
    /// Nothing was received for too long.
    Silent,
    /// The peer sent what is no frame, or a message that it may not send.
    BadBytes,
    /// The peer sent without credit.
    NoCredit,
    /// The peer returned more credit than was used.
    BadCredit,
    /// The peer speaks another version.
    OtherVersion,
    /// Client: the connection was refused.
    Refused,
    /// Client: the connection was not up in time.
    ConnectTimeout,
    /// Client: nothing sends commands to the stream any more.
    CommandsClosed,
    /// Client: another site answered.
    OtherSite,
    /// Server: the peer's site is not configured.
    UnknownSite,
    /// Server: the peer opened a newer connection of the same stream.
    Replaced,
    /// Server: too many messages wait to be written.
    NotReading,
    /// Server: this process drains, and has nothing of the peer left.
    Draining,
}

impl LinkEnd {
    /// The name in counters and logs.
    pub(crate) fn name(self) -> &'static str {
        match self {
            LinkEnd::Closed => "closed",
            LinkEnd::Reset => "reset",
            LinkEnd::Silent => "silent",
            LinkEnd::BadBytes => "bad_bytes",
            LinkEnd::NoCredit => "no_credit",
            LinkEnd::BadCredit => "bad_credit",
            LinkEnd::OtherVersion => "other_version",
            LinkEnd::Refused => "refused",
            LinkEnd::ConnectTimeout => "not up in time",
            LinkEnd::CommandsClosed => "its queue is gone",
            LinkEnd::OtherSite => "other_site",
            LinkEnd::UnknownSite => "stranger",
            LinkEnd::Replaced => "replaced",
            LinkEnd::NotReading => "not_reading",
            LinkEnd::Draining => "leaving",
        }
    }
}
