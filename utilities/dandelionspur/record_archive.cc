#include "utilities/dandelionspur/record_archive.h"

#include <algorithm>
#include <boost/endian/conversion.hpp>
#include <type_traits>
#include <utility>

#include "libraries/agent_core/agent_core.h"
#include "libraries/entry_core/entry_core.h"
#include "libraries/recording/replayer.h"
#include "utilities/dandelionspur/key_search.h"
#include "utilities/dandelionspur/step_description.h"

namespace dandelionspur {
namespace {

std::string ProcessName(const SegmentHeader& header) {
  const std::string role =
      header.role == ProcessRole::kEntry ? "entry-" : "agent-";
  return role + std::to_string(header.process);
}

// Replays the segments of one process; returns the number of steps.
template <typename Core, typename Visitor>
Result<std::uint64_t> ReplayProcess(const ProcessRecords& records,
                                    Visitor&& visit) {
  Replayer<Core> replayer;
  std::uint64_t steps = 0;
  for (const auto& [number, named] : records.segments) {
    BOOST_LEAF_AUTO(count, replayer.Run(named.segment, named.source, visit));
    steps += count;
  }
  return steps;
}

// Whether an effect concerns the job: it contains the job's key, or it changes
// the job's bucket, the view or the service's document.
struct JobFilter {
  const ServiceName& service;
  const JobKey& key;
  std::uint32_t bucket_count;

  bool operator()(const OwnershipChanged& effect) const {
    const BucketId bucket = BucketOf(this->key, this->bucket_count);
    return std::any_of(
        effect.buckets.begin(), effect.buckets.end(),
        [&](const BucketBallot& changed) { return changed.bucket == bucket; });
  }
  bool operator()(const ViewInForce&) const { return true; }
  bool operator()(const DocumentInForce& effect) const {
    return effect.document.service == this->service;
  }
  template <typename Other>
  bool operator()(const Other& effect) const {
    return ContainsKey(effect, this->key);
  }
};

// Removes all buckets other than `bucket` from an ownership change.
EntryEffect FilterBuckets(EntryEffect effect, BucketId bucket) {
  if (auto* changed = std::get_if<OwnershipChanged>(&effect)) {
    std::erase_if(changed->buckets, [&](const BucketBallot& other) {
      return other.bucket != bucket;
    });
  }
  return effect;
}

AgentEffect FilterBuckets(AgentEffect effect, BucketId /*bucket*/) {
  return effect;
}

// Collects the events and effects of one process that concern a job.
template <typename Core>
class JobCollector {
 public:
  JobCollector(std::string process_name, const JobFilter& filter,
               std::vector<ExplainedStep>& collected_steps)
      : process(std::move(process_name)),
        concerns(filter),
        steps(collected_steps) {}

  void operator()(Timestamp now, const typename Core::Event& event,
                  const std::vector<typename Core::Effect>& effects) const {
    const BucketId bucket =
        BucketOf(this->concerns.key, this->concerns.bucket_count);
    if (ContainsKey(event, this->concerns.key)) {
      this->steps.push_back(
          {now, this->process, Describe(event, this->concerns.key)});
    }
    for (const typename Core::Effect& effect : effects) {
      if (!std::visit(this->concerns, effect)) continue;
      const std::string text =
          Describe(FilterBuckets(effect, bucket), this->concerns.key);
      this->steps.push_back({now, this->process, "  -> " + text});
    }
  }

 private:
  std::string process;
  JobFilter concerns;
  std::vector<ExplainedStep>& steps;
};

template <typename Core>
Result<std::uint64_t> CollectSteps(const std::string& name,
                                   const ProcessRecords& records,
                                   const ServiceName& service,
                                   const JobKey& key,
                                   std::vector<ExplainedStep>& steps) {
  BOOST_LEAF_AUTO(
      settings, RecordCodec::FromMessagePack<typename Core::Settings>(
                    records.segments.begin()->second.segment.header.settings));
  const JobFilter concerns{service, key, settings.bucket_count};
  return ReplayProcess<Core>(records,
                             JobCollector<Core>(name, concerns, steps));
}

}  // namespace

Result<void> RecordArchive::Add(const std::string& bytes,
                                const std::string& source) {
  BOOST_LEAF_AUTO(segment, DecodeSegment(bytes, source));
  ProcessRecords& records = this->processes[ProcessName(segment.header)];
  records.role = segment.header.role;
  records.process = segment.header.process;
  const std::uint64_t number = segment.header.number;
  records.segments.emplace(number, NamedSegment{source, std::move(segment)});
  return {};
}

Result<void> RecordArchive::AddSegments(const std::string& body,
                                        const std::string& source) {
  std::size_t offset = 0;
  while (offset + sizeof(std::uint64_t) <= body.size()) {
    const std::uint64_t length = boost::endian::load_big_u64(
        reinterpret_cast<const std::uint8_t*>(body.data() + offset));
    offset += sizeof(std::uint64_t);
    if (length > body.size() - offset) {
      return Fail(source + ": offset " + std::to_string(offset) +
                  ": truncated segment");
    }
    BOOST_LEAF_CHECK(this->Add(body.substr(offset, length), source));
    offset += length;
  }
  return {};
}

Result<std::uint64_t> RecordArchive::ReplayAll() const {
  std::uint64_t steps = 0;
  const auto ignore = [](Timestamp, const auto&, const auto&) {};
  for (const auto& [name, records] : this->processes) {
    if (records.role == ProcessRole::kEntry) {
      BOOST_LEAF_AUTO(count, ReplayProcess<EntryCore>(records, ignore));
      steps += count;
    } else {
      BOOST_LEAF_AUTO(count, ReplayProcess<AgentCore>(records, ignore));
      steps += count;
    }
  }
  return steps;
}

Result<std::vector<ExplainedStep>> RecordArchive::Explain(
    const ServiceName& service, const JobKey& key) const {
  std::vector<ExplainedStep> steps;
  for (const auto& process : this->processes) {
    const std::string& name = process.first;
    const ProcessRecords& records = process.second;
    const std::string problem = OrElse(
        [&]() -> Result<std::string> {
          if (records.role == ProcessRole::kEntry) {
            BOOST_LEAF_CHECK(
                CollectSteps<EntryCore>(name, records, service, key, steps));
          } else {
            BOOST_LEAF_CHECK(
                CollectSteps<AgentCore>(name, records, service, key, steps));
          }
          return std::string();
        },
        [](const std::string& message) { return message; });
    if (problem.empty()) continue;
    steps.push_back({Timestamp::max(), name, "RECORD INCOMPLETE: " + problem});
  }
  std::stable_sort(steps.begin(), steps.end(),
                   [](const ExplainedStep& left, const ExplainedStep& right) {
                     return left.now < right.now;
                   });
  return steps;
}

}  // namespace dandelionspur
