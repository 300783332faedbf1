#ifndef COMFREYDECK_OPERATORS_CUSTOMERPAGE_P_H
#define COMFREYDECK_OPERATORS_CUSTOMERPAGE_P_H

#include "operators/Commands.h"

/// What is read of customers. Each throws OperatorError.
namespace comfreydeck::operators::detail {

void listCustomers(CommandContext &Context);

/// One customer's arrangement on one page.
void showCustomer(CommandContext &Context, const std::string &Name);

/// What differs between two customers.
void diffCustomers(CommandContext &Context, const std::string &A,
                   const std::string &B);

} // namespace comfreydeck::operators::detail

#endif // COMFREYDECK_OPERATORS_CUSTOMERPAGE_P_H
