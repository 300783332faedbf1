#include "settings/SettingsFile_p.h"

#include <cerrno>
#include <fstream>
#include <sstream>
#include <system_error>

namespace comfreydeck::settings::detail {

namespace {

std::vector<SettingsFault> documentFault(std::string Message) {
  return {SettingsFault{"", std::move(Message)}};
}

} // namespace

nlohmann::json parseObject(std::string_view Json) {
  nlohmann::json Document;
  try {
    Document = nlohmann::json::parse(Json);
  } catch (const nlohmann::json::exception &E) {
    throw SettingsError(
        documentFault(std::string("is not valid JSON: ") + E.what()));
  }
  if (!Document.is_object())
    throw SettingsError(documentFault("must be a JSON object"));
  return Document;
}

std::string readFile(const std::string &File) {
  errno = 0;
  std::ifstream Stream(File);
  std::stringstream Content;
  Content << Stream.rdbuf();
  // Opening a directory succeeds, reading it does not.
  if (!Stream.is_open() || errno != 0)
    throw SettingsError(documentFault("can't be read: " +
                                      std::generic_category().message(errno)),
                        File);
  return Content.str();
}

} // namespace comfreydeck::settings::detail
