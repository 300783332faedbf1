#ifndef COMFREYDECK_CODEC_FIELDREADER_P_H
#define COMFREYDECK_CODEC_FIELDREADER_P_H

#include "codec/ConfigJson.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>
#include <span>

namespace comfreydeck::codec::detail {

enum class Need : std::uint8_t { Optional, Required };

/// Reads the fields of one JSON object and records every fault. A field that is
/// absent or invalid leaves its output unchanged.
class FieldReader {
public:
  /// The referents must outlive the reader.
  FieldReader(const nlohmann::json &Object, std::string Path,
              std::vector<core::FieldFault> &Faults);

  void text(const char *Field, std::string &Out, Need Needed);
  void flag(const char *Field, bool &Out);
  void number(const char *Field, std::uint32_t &Out, Need Needed);
  void number64(const char *Field, std::uint64_t &Out);
  void signed64(const char *Field, std::int64_t &Out);
  void names(const char *Field, std::vector<std::string> &Out);
  void numbers(const char *Field, std::vector<std::uint32_t> &Out);
  void hash(const char *Field, core::KeyHash &Out);

  /// Reads a numeric id; \p Out stays as it is, invalid by default, if the
  /// field is absent.
  template <typename Id> void id(const char *Field, Id &Out) {
    number(Field, Out.Value, Need::Optional);
  }

  template <typename Id> void ids(const char *Field, std::vector<Id> &Out) {
    std::vector<std::uint32_t> Numbers;
    numbers(Field, Numbers);
    for (std::uint32_t Number : Numbers)
      Out.push_back(Id{Number});
  }

  /// Reads the name of an enumerator; its position in \p Names is the value.
  template <typename Enum>
  void oneOf(const char *Field, Enum &Out,
             std::span<const std::string_view> Names) {
    std::string Text;
    text(Field, Text, Need::Required);
    for (std::size_t I = 0; I < Names.size(); ++I)
      if (Text == Names[I])
        Out = static_cast<Enum>(I);
    if (std::find(Names.begin(), Names.end(), Text) == Names.end())
      notOneOf(Field, Text, Names);
  }

  /// Returns the field's value, or null if it is absent.
  const nlohmann::json *take(const char *Field, Need Needed);

  /// Reads a list of objects, each by \p Read(FieldReader &, T &).
  template <typename T, typename F>
  void list(const char *Field, std::vector<T> &Out, Need Needed, F Read) {
    const nlohmann::json *List = array(Field, Needed);
    if (!List)
      return;
    for (std::size_t I = 0; I < List->size(); ++I) {
      T Item;
      FieldReader Inner((*List)[I],
                        pathOf(Field) + "[" + std::to_string(I) + "]", Faults_);
      Read(Inner, Item);
      Inner.rejectUnknown();
      Out.push_back(std::move(Item));
    }
  }

  /// Records a fault for every field that was not read.
  void rejectUnknown();

  void addFault(const std::string &Field, std::string Message);
  std::string pathOf(const std::string &Field) const;

private:
  const nlohmann::json *array(const char *Field, Need Needed);
  void notOneOf(const char *Field, const std::string &Text,
                std::span<const std::string_view> Names);

  const nlohmann::json &Object_;
  std::string Path_;
  std::vector<core::FieldFault> &Faults_;
  std::set<std::string> Known_;
  bool IsObject_ = true;
};

} // namespace comfreydeck::codec::detail

#endif // COMFREYDECK_CODEC_FIELDREADER_P_H
