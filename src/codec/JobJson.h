#ifndef COMFREYDECK_CODEC_JOBJSON_H
#define COMFREYDECK_CODEC_JOBJSON_H

#include "jobs/Job.h"

#include <string>

/// Jobs and their progress as rows. Decoders throw std::invalid_argument.
namespace comfreydeck::codec {

/// Thread-safe, as all of these.
std::string encodeJob(const jobs::JobSpec &Spec);
jobs::JobSpec decodeJob(const std::string &Text);

std::string encodeProgress(const jobs::JobProgress &Progress);
jobs::JobProgress decodeProgress(const std::string &Text);

} // namespace comfreydeck::codec

#endif // COMFREYDECK_CODEC_JOBJSON_H
