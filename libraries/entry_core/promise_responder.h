#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_PROMISE_RESPONDER_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_PROMISE_RESPONDER_H_

#include <vector>

#include "libraries/entry_core/bucket_table.h"
#include "libraries/entry_core/entry_outbox.h"
#include "libraries/protocol/entry_messages.h"

namespace dandelionspur {

// Replies to the promise requests of other entries.
class PromiseResponder {
 public:
  PromiseResponder(BucketTable& bucket_table, EntryOutbox& effects);

  // Returns the buckets that this entry loses by promising.
  std::vector<BucketId> OnPromiseRequest(EntryId from,
                                         const PromiseRequest& request);

 private:
  BucketTable& buckets;
  EntryOutbox& outbox;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_PROMISE_RESPONDER_H_
