//! Whether a daemon that is shutting down still accepts a request.
//!
//! During a planned stop of several daemons of a failure domain, the load balancer uses daemons
//! that aren't ready if too few are ready, so requests arrive until the exit. A request that the
//! exit would abort is refused at once, and its caller uses another daemon.

use std::time::Duration;

use crate::serving::configuration::RouteKind;

/// Time in which nearly all streams end. The longest stream of the deployments' traces took between
/// three and four seconds.
const STREAM_DURATION: Duration = Duration::from_secs(4);
/// Time in which nearly all calls of plain services end. Their deadlines are 0.8 to 5 s and their
/// work takes up to 0.45 s.
const CALL_DURATION: Duration = Duration::from_millis(1500);

/// Returns whether a request is likely to end before the process exits.
pub fn can_finish(kind: RouteKind, time_left: Duration, until_exit: Duration) -> bool {
    let duration = if kind.is_stream() { STREAM_DURATION } else { CALL_DURATION };
    duration.min(time_left) <= until_exit
}
