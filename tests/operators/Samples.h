#ifndef COMFREYDECK_TESTS_OPERATORS_SAMPLES_H
#define COMFREYDECK_TESTS_OPERATORS_SAMPLES_H

namespace comfreydeck::tests {

/// Two pools, a template and one customer.
constexpr const char *SampleEdits = R"([
  {"edit":"put-datacentre","name":"dc1"},
  {"edit":"put-pool","name":"signing"},
  {"edit":"put-pool","name":"filing"},
  {"edit":"put-template","name":"rental","help":"A rental shop with kiosks",
   "parameters":[
     {"name":"share","kind":"share","help":"Weight when all is full",
      "default":2,"least":1,"most":100},
     {"name":"limit","kind":"number","help":"Tasks at once","most":64},
     {"name":"pools","kind":"names","help":"Pools that serve it"}],
   "teams":[{"share":{"parameter":"share"},
             "upper_limit":{"parameter":"limit"}}],
   "queues":[{"for_each":"pools","pool":{"parameter":"each"}}]},
  {"edit":"put-customer","name":"beach","template":"rental",
   "arguments":{"limit":8,"pools":["signing","filing"]}}
])";

} // namespace comfreydeck::tests

#endif // COMFREYDECK_TESTS_OPERATORS_SAMPLES_H
