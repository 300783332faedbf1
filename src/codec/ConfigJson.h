#ifndef COMFREYDECK_CODEC_CONFIGJSON_H
#define COMFREYDECK_CODEC_CONFIGJSON_H

#include "core/ConfigChange.h"

#include <span>
#include <string>
#include <string_view>

/// The configuration and its changes as JSON text.
namespace comfreydeck::codec {

/// Thrown for a document that does not have the expected structure.
class CodecError : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
  explicit CodecError(std::vector<core::ConfigFault> Faults);

  /// All faults of a list of edits; empty if the document is malformed as a
  /// whole. Thread-safe.
  std::span<const core::ConfigFault> faults() const { return Faults_; }

private:
  std::vector<core::ConfigFault> Faults_;
};

/// Each parse function throws CodecError. All are thread-safe.
std::string toJson(const core::ConfigChange &Change);
core::ConfigChange parseConfigChange(std::string_view Text);

std::string toJson(const core::Configuration &C);
core::Configuration parseConfiguration(std::string_view Text);

/// A JSON list of edits, as operators send it.
std::string toJson(std::span<const core::ConfigEdit> Edits);
std::vector<core::ConfigEdit> parseEdits(std::string_view Text);

} // namespace comfreydeck::codec

#endif // COMFREYDECK_CODEC_CONFIGJSON_H
