#ifndef COMFREYDECK_OPERATORS_CUSTOMERPAGE_P_H
#define COMFREYDECK_OPERATORS_CUSTOMERPAGE_P_H

#include "operators/Commands.h"

/// Commands that read customers. Each function throws OperatorError.
namespace comfreydeck::operators::detail {

void listCustomers(CommandContext &Context);

/// Prints a customer's template, arguments, teams, queues and pools on one
/// page.
void showCustomer(CommandContext &Context, const std::string &Name);

/// Prints the fields in which two customers differ.
void diffCustomers(CommandContext &Context, const std::string &A,
                   const std::string &B);

} // namespace comfreydeck::operators::detail

#endif // COMFREYDECK_OPERATORS_CUSTOMERPAGE_P_H
