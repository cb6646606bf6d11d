#ifndef DANDELIONSPUR_SERVICES_ENTRY_EVACUATION_ROWS_H_
#define DANDELIONSPUR_SERVICES_ENTRY_EVACUATION_ROWS_H_

#include <optional>
#include <set>

#include "libraries/protocol/evacuation.h"
#include "platform/table_rows.h"

namespace dandelionspur {

// The rows of the operators' table by which they request evacuations. The key
// alone names the data centre: a row with an unreadable value counts, too.
class EvacuationRows {
 public:
  // Applies one answer of the table service. Returns the evacuated data centres
  // if the answer concerns them.
  std::optional<EvacuationSet> Apply(const RowChanges& changes);

 private:
  std::set<DataCentreName> evacuated;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_SERVICES_ENTRY_EVACUATION_ROWS_H_
