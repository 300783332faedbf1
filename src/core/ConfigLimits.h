#ifndef COMFREYDECK_CORE_CONFIGLIMITS_H
#define COMFREYDECK_CORE_CONFIGLIMITS_H

#include <cstddef>
#include <cstdint>

/// Size limits of the configuration.
namespace comfreydeck::core {

constexpr std::size_t MaxNameBytes = 64;
constexpr std::size_t MaxHelpBytes = 400;
constexpr std::size_t MaxTextBytes = 256;
constexpr std::size_t MaxNamesInList = 256;
constexpr std::uint32_t MaxShare = 1000000;
constexpr std::uint32_t MaxUpperLimit = 10000000;
constexpr std::uint32_t MaxAbsent = 100000;

constexpr std::size_t MaxEditsInChange = 2000;
constexpr std::size_t MaxDataCentres = 256;
constexpr std::size_t MaxPools = 2000;
constexpr std::size_t MaxTeams = 20000;
constexpr std::size_t MaxQueues = 40000;
constexpr std::size_t MaxKeys = 100000;
constexpr std::size_t MaxOperatorKeys = 1000;
constexpr std::size_t MaxTemplates = 500;
constexpr std::size_t MaxCustomers = 10000;
constexpr std::size_t MaxParameters = 64;
constexpr std::size_t MaxTeamPatterns = 32;
constexpr std::size_t MaxQueuePatterns = 64;

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_CONFIGLIMITS_H
