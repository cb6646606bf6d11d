#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <iostream>
#include <string>
#include <variant>
#include <vector>

#include "libraries/protocol/codec.h"
#include "tests/support/entry_mesh.h"

namespace dandelionspur {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kRoutes = 400;

// Entries, and routes of the document.
struct SpreadCase {
  std::uint32_t entries = 0;
  std::uint32_t routes = 0;
};

class DocumentSpreadTest : public testing::TestWithParam<SpreadCase> {};

INSTANTIATE_TEST_SUITE_P(Sizes, DocumentSpreadTest,
                         testing::Values(SpreadCase{8, kRoutes},
                                         SpreadCase{35, kRoutes}),
                         [](const testing::TestParamInfo<SpreadCase>& sizes) {
                           return std::to_string(sizes.param.entries) +
                                  "Entries";
                         });

// Guards against entries that send each other documents which all of them read
// from the table: a change cost the document times the square of the members.
TEST_P(DocumentSpreadTest, AChangeThatAllReadCostsNoCopyOfTheDocument) {
  constexpr std::uint64_t kChanges = 10;
  constexpr std::uint64_t kMaximumBytes = 200;
  EntryMesh mesh(GetParam().entries);
  mesh.WriteDocument(DocumentWithRoutes(1, GetParam().routes));
  mesh.Advance(seconds(10));
  const std::uint64_t begun = mesh.bytes_sent();
  mesh.Advance(seconds(kChanges));
  const std::uint64_t unchanged = mesh.bytes_sent() - begun;
  for (std::uint64_t i = 0; i < kChanges; ++i) {
    mesh.WriteDocument(DocumentWithRoutes(2 + i, GetParam().routes));
    mesh.Advance(seconds(1));
    for (std::size_t entry = 0; entry < mesh.size(); ++entry) {
      ASSERT_EQ(mesh.VersionAt(entry), DocumentVersion(2 + i));
    }
  }
  const std::uint64_t changed = mesh.bytes_sent() - begun - unchanged;
  const std::uint64_t extra = changed > unchanged ? changed - unchanged : 0;
  const std::uint64_t each = extra / kChanges / mesh.size();
  std::cout << "bytes a member a change: " << each << "\n";
  RecordProperty("bytes_a_member_a_change", std::to_string(each));
  EXPECT_LE(each, kMaximumBytes);
}

// What the entries of a mesh ask for and send each other.
struct Spread {
  struct Request {
    EntryId from;
    EntryId to;
  };
  std::vector<Request> requests;
  std::vector<VersionedDocument> pushed;
  DocumentSummary newest_summary;
  std::uint64_t heartbeats = 0;
  std::uint64_t news_bytes = 0;

  void Note(EntryId from, const SendToPeer& sent) {
    if (const auto* push = std::get_if<DocumentPush>(&sent.message)) {
      this->pushed.insert(this->pushed.end(), push->documents.begin(),
                          push->documents.end());
    }
    const auto* heartbeat = std::get_if<PeerHeartbeat>(&sent.message);
    if (heartbeat == nullptr) return;
    ++this->heartbeats;
    this->news_bytes += WireCodec::ToMessagePack(heartbeat->documents).size();
    if (heartbeat->documents->summary) {
      this->newest_summary = *heartbeat->documents->summary;
    }
    if (!heartbeat->documents->request) return;
    this->requests.push_back({from, sent.to});
  }
};

void Watch(EntryMesh& mesh, Spread& spread) {
  mesh.Observe([&spread](EntryId from, const SendToPeer& sent) {
    spread.Note(from, sent);
  });
}

// Guards against naming versions at a cost that grows with the members or that
// fills the links of small instances while nothing changes.
TEST_P(DocumentSpreadTest, NamingVersionsTakesAFewBytesOfAHeartbeat) {
  constexpr std::uint64_t kMaximumBytes = 8;
  EntryMesh mesh(GetParam().entries);
  mesh.WriteDocument(DocumentWithRoutes(1, GetParam().routes));
  mesh.Advance(seconds(10));
  Spread spread;
  Watch(mesh, spread);
  mesh.Advance(seconds(10));
  ASSERT_GT(spread.heartbeats, 0U);
  std::cout << "bytes in " << spread.heartbeats
            << " heartbeats: " << spread.news_bytes << "\n";
  EXPECT_LE(spread.news_bytes, kMaximumBytes * spread.heartbeats);
}

// Guards against requests of entries that are only somewhat later than others,
// also while versions follow each other faster than the entries read.
TEST(DocumentRequestTest, AnEntryThatReadsTheTableAsksNobody) {
  EntryMesh mesh(8);
  Spread spread;
  Watch(mesh, spread);
  for (std::uint64_t version = 1; version <= 100; ++version) {
    mesh.WriteDocument(DocumentWithRoutes(version, kRoutes));
    mesh.Advance(milliseconds(100));
  }
  mesh.Advance(seconds(5));
  EXPECT_TRUE(spread.requests.empty());
  EXPECT_TRUE(spread.pushed.empty());
}

// Guards against an entry that stays at an old version while it can't reach the
// table, and against getting the new one more than once.
TEST(DocumentRequestTest, AnEntryWithoutTheTableAsksOneNeighbour) {
  EntryMesh mesh(8);
  mesh.WriteDocument(DocumentWithRoutes(1, kRoutes));
  mesh.Advance(seconds(2));
  mesh.CutFromTable(3);
  Spread spread;
  Watch(mesh, spread);
  mesh.WriteDocument(DocumentWithRoutes(2, kRoutes));
  mesh.Advance(seconds(5));
  EXPECT_EQ(mesh.VersionAt(3), DocumentVersion(2));
  ASSERT_EQ(spread.requests.size(), 1U);
  EXPECT_EQ(spread.requests.front().from, mesh.IdOf(3));
  ASSERT_EQ(spread.pushed.size(), 1U);
  EXPECT_EQ(spread.pushed.front().version, DocumentVersion(2));
}

// Guards against waiting forever for a neighbour that was lost after it had
// named the new version, and against asking two at the same time.
TEST(DocumentRequestTest, AnotherNeighbourIsAskedIfTheFirstOneIsLost) {
  EntryMesh mesh(8);
  mesh.WriteDocument(DocumentWithRoutes(1, kRoutes));
  mesh.Advance(seconds(2));
  mesh.CutFromTable(3);
  mesh.WriteDocument(DocumentWithRoutes(2, kRoutes));
  Spread spread;
  mesh.Observe([&](EntryId from, const SendToPeer& sent) {
    const std::size_t before = spread.requests.size();
    spread.Note(from, sent);
    // The neighbour ends with the request in its socket.
    const bool is_first = before == 0 && spread.requests.size() == 1;
    if (is_first) mesh.Lose(sent.to.value() - 1);
  });
  mesh.Advance(milliseconds(2'300));
  ASSERT_EQ(spread.requests.size(), 1U);
  EXPECT_EQ(mesh.VersionAt(3), DocumentVersion(1));
  mesh.Advance(milliseconds(700));
  EXPECT_EQ(mesh.VersionAt(3), DocumentVersion(2));
  ASSERT_EQ(spread.requests.size(), 2U);
  EXPECT_NE(spread.requests[0].to, spread.requests[1].to);
  EXPECT_EQ(spread.pushed.size(), 1U);
}

// Guards against sending versions that were overtaken: an entry without the
// table must get the newest at a bounded rate, not each one.
TEST(DocumentRequestTest, OvertakenVersionsAreNotSent) {
  EntryMesh mesh(8);
  mesh.WriteDocument(DocumentWithRoutes(1, kRoutes));
  mesh.Advance(seconds(2));
  mesh.CutFromTable(3);
  Spread spread;
  Watch(mesh, spread);
  constexpr std::uint64_t kLast = 51;
  for (std::uint64_t version = 2; version <= kLast; ++version) {
    mesh.WriteDocument(DocumentWithRoutes(version, kRoutes));
    mesh.Advance(milliseconds(200));
  }
  mesh.Advance(seconds(5));
  EXPECT_EQ(mesh.VersionAt(3), DocumentVersion(kLast));
  // One a second, and the last one.
  EXPECT_LE(spread.pushed.size(), 11U);
}

// Guards against a joining entry that stays without documents, at every number
// of members and also if nothing changes any more.
TEST_P(DocumentSpreadTest, AJoiningEntryGetsAllDocumentsOnce) {
  EntryMesh mesh(GetParam().entries);
  mesh.WriteDocument(DocumentWithRoutes(3, GetParam().routes));
  mesh.Advance(seconds(2));
  Spread spread;
  Watch(mesh, spread);
  const std::size_t joined = mesh.Join();
  mesh.CutFromTable(joined);
  mesh.Advance(seconds(1));
  EXPECT_EQ(mesh.VersionAt(joined), DocumentVersion(3));
  EXPECT_EQ(spread.requests.size(), 1U);
  EXPECT_EQ(spread.pushed.size(), 1U);
}

// Guards against a return to an older version by a late or repeated push, also
// by one that holds several versions of a document.
TEST(DocumentRequestTest, AStalePushChangesNothing) {
  EntryMesh mesh(2);
  mesh.WriteDocument(DocumentWithRoutes(5, 1));
  mesh.Advance(seconds(1));
  const DocumentPush stale{
      {DocumentWithRoutes(4, 2), DocumentWithRoutes(5, 3)}};
  mesh.Deliver(mesh.IdOf(1), 0, stale);
  EXPECT_EQ(mesh.VersionAt(0), DocumentVersion(5));
  EXPECT_EQ(mesh.DocumentAt(0), DocumentWithRoutes(5, 1));
  const DocumentPush newer{{DocumentWithRoutes(6, 1), DocumentWithRoutes(8, 1),
                            DocumentWithRoutes(7, 1)}};
  mesh.Deliver(mesh.IdOf(1), 0, newer);
  EXPECT_EQ(mesh.DocumentAt(0), DocumentWithRoutes(8, 1));
}

// Guards against asking again and again for a document of a newer release that
// this one can't parse, and against losing the one in force to it.
TEST(DocumentRequestTest, AnUnreadableVersionIsNotAskedForAgain) {
  EntryMesh newer_release(2);
  Spread named;
  Watch(newer_release, named);
  newer_release.WriteDocument(DocumentWithRoutes(2, 1));
  newer_release.Advance(seconds(1));
  EntryMesh mesh(2);
  mesh.WriteDocument(DocumentWithRoutes(1, 1));
  mesh.Advance(seconds(1));
  mesh.Lose(1);
  VersionedDocument unreadable = DocumentWithRoutes(2, 1);
  unreadable.text = R"({"service": "s"})";
  mesh.Deliver(mesh.IdOf(1), 0, DocumentPush{{unreadable}});
  EXPECT_EQ(mesh.DocumentAt(0), DocumentWithRoutes(1, 1));
  Spread spread;
  Watch(mesh, spread);
  PeerHeartbeat heartbeat;
  heartbeat.sent_at = mesh.now();
  heartbeat.documents = DocumentNews{named.newest_summary, std::nullopt};
  mesh.Deliver(mesh.IdOf(1), 0, heartbeat);
  mesh.Advance(seconds(5));
  EXPECT_TRUE(spread.requests.empty());
}

// Guards against an entry of an earlier version that can't reach the table and
// gets no documents, since it asks for none.
TEST(DocumentRequestTest, APeerThatCannotAskIsSentEachVersionOnce) {
  EntryMesh mesh(2);
  mesh.CutFromTable(1);
  mesh.WriteDocument(DocumentWithRoutes(1, 1));
  mesh.Advance(milliseconds(200));
  mesh.Lose(1);
  Spread spread;
  Watch(mesh, spread);
  std::vector<std::size_t> pushed;
  for (std::uint64_t version = 1; version <= 2; ++version) {
    mesh.WriteDocument(DocumentWithRoutes(version, 1));
    mesh.Advance(milliseconds(200));
    for (int i = 0; i < 2; ++i) {
      PeerHeartbeat heartbeat;
      heartbeat.sent_at = mesh.now();
      mesh.Deliver(mesh.IdOf(1), 0, heartbeat);
      pushed.push_back(spread.pushed.size());
    }
  }
  EXPECT_EQ(pushed, (std::vector<std::size_t>{1, 1, 2, 2}));
}

}  // namespace
}  // namespace dandelionspur
