#ifndef COMFREYDECK_TESTS_OPERATORS_OPERATORHARNESS_H
#define COMFREYDECK_TESTS_OPERATORS_OPERATORHARNESS_H

#include "net/HttpClient.h"
#include "standins/PlatformStandin.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace comfreydeck::entry {
class Entry;
} // namespace comfreydeck::entry

namespace comfreydeck::tests {

/// Runs entries in this process against a platform stand-in, over loopback.
class OperatorHarness {
public:
  /// Starts \p Count entries and waits until each is ready.
  explicit OperatorHarness(std::size_t Count);
  ~OperatorHarness();

  OperatorHarness(const OperatorHarness &) = delete;
  OperatorHarness &operator=(const OperatorHarness &) = delete;

  /// `http://IP:PORT` of an entry.
  std::string url(std::size_t Index) const;

  /// The secret that is valid until the first operator key is granted.
  const std::string &bootstrapSecret() const { return Secret_; }

  standins::PlatformStandin &platform() { return Platform_; }

  /// Sends one request to an entry and waits for the answer. An empty \p Secret
  /// sends no Authorization header.
  net::HttpResponse send(std::size_t Index, const std::string &Method,
                         const std::string &Path, const std::string &Body,
                         const std::string &Secret);

  /// The same, to the first entry with the bootstrap secret.
  net::HttpResponse send(const std::string &Method, const std::string &Path,
                         const std::string &Body);

  /// Posts a JSON list of edits and waits until every entry has read the
  /// change.
  void apply(const std::string &Edits);

  /// Waits until every entry is at \p Version or later.
  void waitFor(std::uint64_t Version);

  /// Version of an entry's configuration.
  std::uint64_t versionAt(std::size_t Index);

private:
  std::string Secret_;
  standins::PlatformStandin Platform_;
  net::HttpClient Client_;
  std::vector<std::uint16_t> Ports_;
  std::vector<std::unique_ptr<entry::Entry>> Entries_;
};

} // namespace comfreydeck::tests

#endif // COMFREYDECK_TESTS_OPERATORS_OPERATORHARNESS_H
