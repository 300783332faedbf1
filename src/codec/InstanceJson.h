#ifndef COMFREYDECK_CODEC_INSTANCEJSON_H
#define COMFREYDECK_CODEC_INSTANCEJSON_H

#include "core/Instance.h"

#include <string_view>

namespace comfreydeck::codec {

/// Each parse function throws CodecError. All are thread-safe.
std::string toJson(const core::Instance &I);
core::Instance parseInstance(std::string_view Text);

/// The state's name in rows and responses. Thread-safe.
const char *nameOf(core::InstanceState State);

} // namespace comfreydeck::codec

#endif // COMFREYDECK_CODEC_INSTANCEJSON_H
