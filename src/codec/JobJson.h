#ifndef COMFREYDECK_CODEC_JOBJSON_H
#define COMFREYDECK_CODEC_JOBJSON_H

#include "jobs/Worker.h"

#include <string>
#include <string_view>

/// Jobs, their progress and the workers of a pool's roster as rows. Decoders
/// throw std::invalid_argument.
namespace comfreydeck::codec {

/// Thread-safe, as all of these.
std::string encodeJob(const jobs::JobSpec &Spec);
jobs::JobSpec decodeJob(const std::string &Text);
/// The pool of an encoded job, found without decoding the rest of it; empty
/// where that takes a decoding.
std::string_view poolOf(std::string_view Text);

std::string encodeProgress(const jobs::JobProgress &Progress);
jobs::JobProgress decodeProgress(const std::string &Text);

/// What a later owner needs to ask the worker: its place and its life.
std::string encodeRosterRow(const jobs::WorkerEntry &Entry);
jobs::WorkerEntry decodeRosterRow(const std::string &Id,
                                  const std::string &Text);

} // namespace comfreydeck::codec

#endif // COMFREYDECK_CODEC_JOBJSON_H
