#ifndef DANDELIONSPUR_LIBRARIES_PROTOCOL_HELLO_H_
#define DANDELIONSPUR_LIBRARIES_PROTOCOL_HELLO_H_

#include <boost/describe.hpp>
#include <cstdint>

namespace dandelionspur {

BOOST_DEFINE_ENUM_CLASS(ProcessRole, kEntry, kAgent)

// The first frame in each direction of a connection: which incarnation of
// which program speaks. A dialer that meets another incarnation than it
// expects has proof that the expected one is dead.
struct Hello {
  ProcessRole role = ProcessRole::kEntry;
  std::uint64_t id = 0;
};
BOOST_DESCRIBE_STRUCT(Hello, (), (role, id))

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_PROTOCOL_HELLO_H_
