//! Whether a daemon that leaves still takes a request.
//!
//! Answers planned stops of several daemons of a failure domain: the balancer uses
//! daemons that aren't ready if too few are, so requests come until the end. One that
//! would be cut at the exit is refused at once, and its caller finds another daemon.

use std::time::Duration;

use crate::serving::configuration::RouteKind;

/// Time in which nearly all streams end; the longest of the deployments' days took
/// between three and four seconds.
const STREAM_SPAN: Duration = Duration::from_secs(4);
/// The same of calls of plain services, whose deadlines are 0.8 to 5 s and whose work
/// takes up to 0.45 s.
const CALL_SPAN: Duration = Duration::from_millis(1500);

/// Tells whether a request is likely to end before the process does.
pub fn can_finish(kind: RouteKind, time_left: Duration, until_exit: Duration) -> bool {
    let span = if kind.is_stream() { STREAM_SPAN } else { CALL_SPAN };
    span.min(time_left) <= until_exit
}
