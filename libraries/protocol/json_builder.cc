#include "libraries/protocol/json_builder.h"

#include <span>
#include <utility>

namespace dandelionspur {

bool JsonBuilder::null() { return this->Leaf("null", nullptr); }

bool JsonBuilder::boolean(bool value) {
  return this->Leaf(value ? "true" : "false", value);
}

bool JsonBuilder::number_integer(Json::number_integer_t value) {
  return this->Leaf(std::to_string(value), value);
}

bool JsonBuilder::number_unsigned(Json::number_unsigned_t value) {
  return this->Leaf(std::to_string(value), value);
}

bool JsonBuilder::number_float(Json::number_float_t value,
                               const Json::string_t& digits) {
  return this->Leaf(digits, value);
}

bool JsonBuilder::string(Json::string_t& value) {
  if (!this->text) return this->Add(std::move(value)) != nullptr;
  this->text->String(value);
  return true;
}

bool JsonBuilder::binary(Json::binary_t& /*value*/) {
  return this->Stop("not text");
}

bool JsonBuilder::start_object(std::size_t /*size*/) {
  return this->Open('{', Json::object());
}

bool JsonBuilder::key(Json::string_t& name) {
  if (this->text) {
    this->text->Key(name);
  } else {
    this->open.back().next_key = std::move(name);
  }
  return true;
}

bool JsonBuilder::end_object() { return this->Close('}'); }

bool JsonBuilder::start_array(std::size_t /*size*/) {
  return this->Open('[', Json::array());
}

bool JsonBuilder::end_array() { return this->Close(']'); }

bool JsonBuilder::parse_error(std::size_t /*position*/,
                              const std::string& /*token*/,
                              const Json::exception& error) {
  return this->Stop(error.what());
}

bool JsonBuilder::Leaf(std::string_view literal, Json value) {
  if (this->text) {
    this->text->Literal(literal);
    return true;
  }
  if (this->NextIsText()) value = literal;
  return this->Add(std::move(value)) != nullptr;
}

JsonBuilder::Json* JsonBuilder::Add(Json value) {
  if (++this->values > this->limits.values) {
    this->Stop("more than " + std::to_string(this->limits.values) + " values");
    return nullptr;
  }
  if (this->open.empty()) {
    this->root = std::move(value);
    return &this->root;
  }
  Container& parent = this->open.back();
  if (parent.value->is_array()) {
    auto& items = parent.value->get_ref<Json::array_t&>();
    return &items.emplace_back(std::move(value));
  }
  // Of members with one name the last one counts.
  auto& members = parent.value->get_ref<Json::object_t&>();
  const auto [member, is_new] =
      members.insert_or_assign(std::move(parent.next_key), std::move(value));
  return &member->second;
}

bool JsonBuilder::Open(char bracket, Json empty) {
  if (this->IsTooDeep()) return this->Stop("nested too deeply");
  if (!this->text && this->NextIsText()) {
    this->text.emplace(this->limits.text_bytes);
  }
  if (this->text) {
    this->text->Open(bracket);
    return true;
  }
  const std::optional<std::size_t> path_length = this->PathLengthOfNext();
  Json* added = this->Add(std::move(empty));
  if (added == nullptr) return false;
  this->open.push_back({added, "", path_length});
  return true;
}

bool JsonBuilder::Close(char bracket) {
  if (!this->text) {
    this->open.pop_back();
    return true;
  }
  this->text->Close(bracket);
  if (this->text->depth() > 0) return true;
  Json whole = this->text->Take();
  this->text.reset();
  return this->Add(std::move(whole)) != nullptr;
}

bool JsonBuilder::Stop(std::string reason) {
  this->stopped_for = std::move(reason);
  return false;
}

std::optional<std::size_t> JsonBuilder::PathLengthOfNext() const {
  if (this->open.empty()) return 0;
  const Container& parent = this->open.back();
  const std::span<const std::string_view> path = this->limits.text_path;
  if (!parent.path_length || *parent.path_length >= path.size()) {
    return std::nullopt;
  }
  const bool leads_on = path[*parent.path_length] == kAnyItem
                            ? parent.value->is_array()
                            : parent.value->is_object() &&
                                  parent.next_key == path[*parent.path_length];
  if (!leads_on) return std::nullopt;
  return *parent.path_length + 1;
}

bool JsonBuilder::NextIsText() const {
  const std::size_t length = this->limits.text_path.size();
  return length > 0 && this->PathLengthOfNext() == length;
}

bool JsonBuilder::IsTooDeep() const {
  const std::size_t in_text = this->text ? this->text->depth() : 0;
  return this->open.size() + in_text >= kMaximumJsonDepth;
}

}  // namespace dandelionspur
