//! Reasons why a connection of a link ended or could not be established.

/// Reason why a connection of a link ended or could not be established, on either side.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}", self.name())]
pub(crate) enum LinkEnd {
    /// The peer closed the connection.
    Closed,
    /// Reading or writing failed.
    Reset,
    /// No bytes were received within the time limit.
    Silent,
    /// The peer sent an invalid frame, or a message that is not allowed in its role or state.
    BadBytes,
    /// The peer sent a message without credit for it.
    NoCredit,
    /// The peer returned more credit than this side had used.
    BadCredit,
    /// The peer uses another protocol version.
    OtherVersion,
    /// Client: the TCP connection to the peer failed.
    Refused,
    /// Client: the connection and its handshake were not complete within the time limit.
    ConnectTimeout,
    /// Client: the stream's command channel was closed.
    CommandsClosed,
    /// Client: the peer's site has another name than the configured one.
    OtherSite,
    /// Server: the peer's site is not configured.
    UnknownSite,
    /// Server: the peer opened a newer connection for the same stream.
    Replaced,
    /// Server: too many messages are queued for the peer.
    NotReading,
    /// Server: this process is draining, and no message or forward of the peer is outstanding.
    Draining,
}

impl LinkEnd {
    /// Name of the reason in counters and log lines.
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
