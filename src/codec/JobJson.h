#ifndef COMFREYDECK_CODEC_JOBJSON_H
#define COMFREYDECK_CODEC_JOBJSON_H

#include "jobs/Worker.h"

#include <string>
#include <string_view>
#include <vector>

/// Jobs, their progress and the workers of a pool's roster as JSON rows.
/// Decoders throw std::invalid_argument on malformed rows.
namespace comfreydeck::codec {

/// All functions are thread-safe.
std::string encodeJob(const jobs::JobSpec &Spec);
/// Encodes a job whose payload is stored in a row of its own.
std::string encodeJobWithoutPayload(const jobs::JobSpec &Spec);
/// Also decodes jobs without their payload.
jobs::JobSpec decodeJob(const std::string &Text);
/// Finds the pool of an encoded job without decoding it. Empty if it is not
/// found or contains escapes; decodeJob() finds it then, if there is one.
std::string_view poolOf(std::string_view Text);

std::string encodeProgress(const jobs::JobProgress &Progress);
/// Encodes progress as one row, or as several of at most \p RowBytes bytes if
/// it is longer. Leaves out checkpoints, those of the last tasks first, as far
/// as all rows would exceed \p TotalBytes: these tasks start from the beginning
/// under the next owner.
std::vector<std::string> encodeProgressRows(const jobs::JobProgress &Progress,
                                            std::size_t RowBytes,
                                            std::size_t TotalBytes);

/// The first row of a job's progress.
struct ProgressRow {
  jobs::JobProgress Progress;
  /// Number of rows that belong to it.
  std::size_t FurtherRows = 0;
};

ProgressRow decodeProgressRow(const std::string &Text);
/// Adds what a further row says to the progress of the first one.
void addFurtherRow(jobs::JobProgress &Progress, const std::string &Text);
/// Decodes the job's state alone, which other versions of the program write in
/// the same way.
jobs::JobState decodeProgressState(const std::string &Text);
/// Decodes progress of which only the first row matters, or that has no other.
jobs::JobProgress decodeProgress(const std::string &Text);

/// Encodes what a later owner of the pool needs to query the worker: address,
/// data centre and start time, and whether its machine may be taken away.
std::string encodeRosterRow(const jobs::WorkerEntry &Entry);
jobs::WorkerEntry decodeRosterRow(const std::string &Id,
                                  const std::string &Text);

} // namespace comfreydeck::codec

#endif // COMFREYDECK_CODEC_JOBJSON_H
