#pragma once

#include <cstddef>
#include <string>

namespace bluebell::edge {

/// End offset of the last complete server-sent event in `bytes`, or 0. The
/// first `scanned` bytes are known to hold no complete event.
std::size_t CompleteEvents(const std::string& bytes, std::size_t scanned = 0);

/// Whether `rest`, the bytes after the last complete event, holds a part of
/// another one. Blank lines and whole comment lines belong to no event.
bool HoldsPartOfEvent(const std::string& rest);

/// Number of events in `events`, which ends with a complete one.
int CountEvents(const std::string& events);

/// Id of the last event in `events`, or empty if none has one.
std::string LastEventId(const std::string& events);

}  // namespace bluebell::edge
