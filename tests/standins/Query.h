#ifndef COMFREYDECK_TESTS_STANDINS_QUERY_H
#define COMFREYDECK_TESTS_STANDINS_QUERY_H

#include <string>
#include <string_view>

namespace comfreydeck::standins {

/// Decodes percent-encoding.
std::string unescape(std::string_view Text);

/// Returns the decoded value of a query parameter; empty if it is absent.
std::string queryValue(std::string_view Query, std::string_view Name);

} // namespace comfreydeck::standins

#endif // COMFREYDECK_TESTS_STANDINS_QUERY_H
