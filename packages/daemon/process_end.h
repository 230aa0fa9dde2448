#pragma once

#include <string>

namespace bluebell::daemon {

/// Prepares the process for any state in which it may be started, and for
/// naming the cause of its end. Call it first in `main`.
/// - Closed standard streams are replaced by the null device: otherwise sockets
///   would get their numbers, and log lines would be sent to a peer.
/// - Signals without a meaning here that would end the process are ignored
///   unless a handler is installed; SIGHUP until its handler is.
/// - SIGTERM, SIGINT, SIGHUP and the fatal signals are unblocked.
/// - Fatal signals and `std::terminate` write a line `process_ended` before
///   they take their usual effect, also if the stack is exhausted.
void ProtectProcess();

/// Where lines are written: a descriptor, standard error if it fails or by
/// default.
void SetReportDescriptor(int descriptor);

/// Name of the host in subsequent lines, at most 63 bytes.
void SetReportedHost(const std::string& host);

/// Writes one JSON line to the log. Async-signal-safe; long details are cut.
void LogProcessEvent(const char* event, const char* cause, const char* detail);

/// Writes the line `process_ended`, once per process.
void ReportEnd(const char* cause, const char* detail);

}  // namespace bluebell::daemon
