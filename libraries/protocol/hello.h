#ifndef DANDELIONSPUR_LIBRARIES_PROTOCOL_HELLO_H_
#define DANDELIONSPUR_LIBRARIES_PROTOCOL_HELLO_H_

#include <boost/describe.hpp>
#include <cstddef>
#include <cstdint>

namespace dandelionspur {

BOOST_DEFINE_ENUM_CLASS(ProcessRole, kEntry, kAgent)

// The first frame in each direction of a connection, which identifies the
// sender's program and incarnation. If a dialled address answers with another
// incarnation than expected, the expected one is dead.
struct Hello {
  ProcessRole role = ProcessRole::kEntry;
  // The sender's EntryId or AgentId, by `role`.
  std::uint64_t id = 0;
  // Whether the sender reads empty frames, and sends them on connections that
  // it accepts to answer what it received. Older versions take an empty frame
  // for an error.
  bool answers = false;

  static constexpr std::size_t kRequiredMembers = 2;
};
BOOST_DESCRIBE_STRUCT(Hello, (), (role, id, answers))

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_PROTOCOL_HELLO_H_
