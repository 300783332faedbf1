#ifndef COMFREYDECK_CODEC_CONFIGITEMSJSON_P_H
#define COMFREYDECK_CODEC_CONFIGITEMSJSON_P_H

#include "codec/FieldReader_p.h"

#include <array>

/// JSON fields that an item has both in the configuration and in an edit.
namespace comfreydeck::codec::detail {

constexpr std::array<std::string_view, 3> RoleNames = {"read", "operate",
                                                       "administer"};

nlohmann::json fieldsOf(const core::DataCentre &D);
nlohmann::json fieldsOf(const core::Pool &P);
nlohmann::json fieldsOf(const core::Team &T);
nlohmann::json fieldsOf(const core::Template &T);
nlohmann::json argumentsOf(const std::vector<core::Argument> &Arguments);

void readFields(FieldReader &R, core::DataCentre &D);
void readFields(FieldReader &R, core::Pool &P);
void readFields(FieldReader &R, core::Team &T);
void readFields(FieldReader &R, core::Template &T);
void readArguments(FieldReader &R, std::vector<core::Argument> &Arguments);

nlohmann::json writeEdit(const core::ConfigEdit &Edit);

/// Appends each fault of a malformed edit to \p Faults.
core::ConfigEdit readEdit(const nlohmann::json &J,
                          std::vector<core::FieldFault> &Faults);

} // namespace comfreydeck::codec::detail

#endif // COMFREYDECK_CODEC_CONFIGITEMSJSON_P_H
