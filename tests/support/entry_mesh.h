#ifndef DANDELIONSPUR_TESTS_SUPPORT_ENTRY_MESH_H_
#define DANDELIONSPUR_TESTS_SUPPORT_ENTRY_MESH_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "libraries/entry_core/entry_core.h"

namespace dandelionspur {

// A document of this size, in routes, that parses.
[[nodiscard]] VersionedDocument DocumentWithRoutes(std::uint64_t version,
                                                   std::uint32_t routes);

// A number of entry cores without agents, all connected to each other, and a
// table with one document. Messages are delivered at once and in order; time
// advances in ticks, and each entry reads the table at its own tick of four.
class EntryMesh {
 public:
  explicit EntryMesh(std::uint32_t count);
  EntryMesh(const EntryMesh&) = delete;
  EntryMesh& operator=(const EntryMesh&) = delete;

  // Adds a member that is connected to all others. Returns its index.
  std::size_t Join();
  void Advance(Duration span);
  void WriteDocument(const VersionedDocument& written);
  // The entry reads these evacuated data centres from the operators' table.
  void ReadEvacuations(std::size_t entry, const EvacuationSet& evacuations);
  // The entry reads nothing from the table from now on.
  void CutFromTable(std::size_t entry);
  // The entry handles nothing from now on. No other learns of its end.
  void Lose(std::size_t entry);
  // Delivers a message to the entry.
  void Deliver(EntryId from, std::size_t entry, const PeerMessage& message);
  // Called with each message between entries, also with those that are lost.
  void Observe(
      std::function<void(EntryId from, const SendToPeer& sent)> function) {
    this->observer = std::move(function);
  }

  [[nodiscard]] std::size_t size() const { return this->entries.size(); }
  [[nodiscard]] EntryId IdOf(std::size_t entry) const {
    return EntryId(entry + 1);
  }
  // The version that is in force at the entry, or 0.
  [[nodiscard]] DocumentVersion VersionAt(std::size_t entry) const;
  // The document that is in force at the entry, if there is one.
  [[nodiscard]] VersionedDocument DocumentAt(std::size_t entry) const;
  [[nodiscard]] const EvacuationSet& EvacuationsAt(std::size_t entry) const;
  [[nodiscard]] Timestamp now() const { return this->time; }
  // The encoded size of all messages that the entries have sent each other.
  [[nodiscard]] std::uint64_t bytes_sent() const { return this->sent_bytes; }

 private:
  struct Entry {
    std::unique_ptr<EntryCore> core;
    bool reaches_table = true;
    bool lost = false;
    DocumentVersion read;
  };
  struct Message {
    std::size_t to = 0;
    PeerMessageReceived received;
  };

  void Handle(std::size_t entry, const EntryEvent& event);
  void DeliverAll();
  void ReadTable(std::size_t entry);

  std::vector<Entry> entries;
  View view;
  VersionedDocument document;
  std::deque<Message> in_flight;
  std::function<void(EntryId, const SendToPeer&)> observer;
  Timestamp time{std::chrono::seconds(1'000)};
  std::uint32_t ticks = 0;
  std::uint64_t sent_bytes = 0;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_TESTS_SUPPORT_ENTRY_MESH_H_
