#ifndef DANDELIONSPUR_LIBRARIES_BASE_STRONG_TYPE_H_
#define DANDELIONSPUR_LIBRARIES_BASE_STRONG_TYPE_H_

#include <compare>
#include <cstddef>
#include <functional>
#include <utility>

namespace dandelionspur {

// A value whose type differs from all others of the same representation, so
// that the compiler rejects a mix-up. Each alias has its own Tag.
template <typename Representation, typename Tag>
class StrongType {
 public:
  using ValueType = Representation;

  StrongType() = default;
  explicit StrongType(Representation initial) : raw(std::move(initial)) {}

  [[nodiscard]] const Representation& value() const { return this->raw; }
  auto operator<=>(const StrongType&) const = default;

 private:
  Representation raw{};
};

template <typename T>
struct IsStrongType : std::false_type {};
template <typename Representation, typename Tag>
struct IsStrongType<StrongType<Representation, Tag>> : std::true_type {};

}  // namespace dandelionspur

template <typename Representation, typename Tag>
struct std::hash<dandelionspur::StrongType<Representation, Tag>> {
  std::size_t operator()(
      const dandelionspur::StrongType<Representation, Tag>& id) const {
    return std::hash<Representation>{}(id.value());
  }
};

#endif  // DANDELIONSPUR_LIBRARIES_BASE_STRONG_TYPE_H_
