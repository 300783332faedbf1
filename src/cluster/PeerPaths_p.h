#ifndef COMFREYDECK_CLUSTER_PEERPATHS_P_H
#define COMFREYDECK_CLUSTER_PEERPATHS_P_H

/// URL paths of the calls between entries; all use POST.
namespace comfreydeck::cluster::detail {

inline constexpr const char *MessageType = "application/x-protobuf";

inline constexpr const char *GreetPath = "/peer/greet";
inline constexpr const char *ProvePath = "/peer/prove";
inline constexpr const char *NotifyPath = "/peer/notify";
inline constexpr const char *AcquirePath = "/peer/acquire";
inline constexpr const char *ReleasePath = "/peer/release";
inline constexpr const char *HandOverPath = "/peer/hand-over";
inline constexpr const char *ListRunningPath = "/peer/list-running";

} // namespace comfreydeck::cluster::detail

#endif // COMFREYDECK_CLUSTER_PEERPATHS_P_H
