#ifndef COMFREYDECK_CODEC_REPORTJSON_H
#define COMFREYDECK_CODEC_REPORTJSON_H

#include "core/ConfigChange.h"
#include "core/ConfigReport.h"

#include <string>

/// Reports for operators as JSON text.
namespace comfreydeck::codec {

/// All are thread-safe.
std::string toJson(const core::ChangeReport &Report);
std::string toJson(const core::CustomerReport &Report);

/// A list of `{"edit","field","message"}`.
std::string toJson(std::span<const core::ConfigFault> Faults);

} // namespace comfreydeck::codec

#endif // COMFREYDECK_CODEC_REPORTJSON_H
