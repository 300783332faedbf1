#include "codec/ConfigItemsJson_p.h"

namespace comfreydeck::codec::detail {

using namespace core;
using nlohmann::json;

json fieldsOf(const DataCentre &D) {
  return {{"name", D.Name}, {"out", D.Out}};
}

json fieldsOf(const Pool &P) {
  return {{"name", P.Name},
          {"absent_limit", P.AbsentLimit},
          {"absent_limit_per_domain", P.AbsentLimitPerDomain},
          {"spare", P.Spare}};
}

json fieldsOf(const Team &T) {
  return {{"name", T.Name},
          {"share", T.Share},
          {"upper_limit", T.UpperLimit},
          {"takes_keys", T.TakesKeys}};
}

void readFields(FieldReader &R, DataCentre &D) {
  R.text("name", D.Name, Need::Required);
  R.flag("out", D.Out);
}

void readFields(FieldReader &R, Pool &P) {
  R.text("name", P.Name, Need::Required);
  R.number("absent_limit", P.AbsentLimit, Need::Optional);
  R.number("absent_limit_per_domain", P.AbsentLimitPerDomain, Need::Optional);
  R.flag("spare", P.Spare);
}

void readFields(FieldReader &R, Team &T) {
  R.text("name", T.Name, Need::Required);
  R.number("share", T.Share, Need::Optional);
  R.number("upper_limit", T.UpperLimit, Need::Optional);
  R.flag("takes_keys", T.TakesKeys);
}

} // namespace comfreydeck::codec::detail
