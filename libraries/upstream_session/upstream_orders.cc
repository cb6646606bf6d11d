#include "libraries/upstream_session/upstream_orders.h"

namespace dandelionspur {
namespace {

// Whether the order has certainly not left this process.
bool IsUndelivered(OrderOutcome outcome) {
  return outcome == OrderOutcome::kNotSent ||
         outcome == OrderOutcome::kConnectionRefused;
}

}  // namespace

UpstreamOrders::UpstreamOrders(FencingToken first, Duration maximum_lease)
    : tokens(first), clock(maximum_lease), leases(maximum_lease) {}

void UpstreamOrders::BeginIncarnation(Duration upstream_clock, SteadyTime now) {
  this->tokens.BeginIncarnation();
  this->clock.Set(upstream_clock, now);
  this->lists.Clear();
}

SendStart UpstreamOrders::Start(const UpstreamHeartbeat& receiver,
                                UpstreamTask& task, SteadyTime now) {
  ++task.orders;
  task.phase = UpstreamTask::Phase::kOrdered;
  task.token = this->tokens.current();
  task.lease = this->leases.Add(now);
  return {receiver, StartOrder{task.run, task.body.bytes(),
                               this->clock.LeaseUntil(now), task.token}};
}

SendStop UpstreamOrders::Stop(const UpstreamHeartbeat& receiver,
                              const TaskRun& run) const {
  return {receiver, StopOrder{run, this->tokens.current()}};
}

SendList UpstreamOrders::List(const UpstreamHeartbeat& receiver,
                              CompletionNumber acknowledged,
                              Duration poll_timeout, LeaseRenewal renewal,
                              SteadyTime now) {
  const ListNumber number = this->lists.TakeNumber();
  ListRequest request{this->tokens.current(), now, poll_timeout, std::nullopt};
  ListOrder order;
  order.token = request.token;
  order.acknowledged = acknowledged;
  order.poll_timeout = poll_timeout;
  if (renewal == LeaseRenewal::kAllowed) {
    request.lease = this->leases.Add(now);
    order.lease_until = this->clock.LeaseUntil(now);
  }
  this->lists.Add(number, request);
  return {receiver, number, order};
}

SendList UpstreamOrders::Probe(const UpstreamHeartbeat& receiver) {
  ListOrder order;
  order.token = this->tokens.current();
  return {receiver, this->lists.TakeNumber(), order};
}

void UpstreamOrders::SupersedeOverdueLists(SteadyTime now) {
  if (this->lists.HasOverdueRenewal(this->tokens.current(), now)) {
    this->Supersede();
  }
}

void UpstreamOrders::OnProbeAnswer(const OrderAnswer& answer) {
  if (answer.outcome != OrderOutcome::kFenced) return;
  this->tokens.Replace(this->tokens.current());
}

void UpstreamOrders::UpdateClock(const OrderAnswer& answer, SteadyTime now) {
  if (answer.clock) this->clock.Update(*answer.clock, now);
}

void UpstreamOrders::OnLeaseAnswer(LeaseGrantNumber lease,
                                   const OrderAnswer& answer) {
  if (IsUndelivered(answer.outcome)) this->leases.Withdraw(lease);
}

std::optional<ListRequest> UpstreamOrders::OnListAnswer(
    ListNumber number, const OrderAnswer& answer, SteadyTime now) {
  const std::optional<ListRequest> request = this->lists.Remove(number);
  if (!request) return std::nullopt;
  this->UpdateClock(answer, now);
  if (request->lease) this->OnLeaseAnswer(*request->lease, answer);
  // It may be carried out seconds later, when the lease must not be extended
  // any more.
  const bool may_extend_lease =
      answer.outcome == OrderOutcome::kUnknown &&
      request->RenewsLeaseUnder(this->tokens.current());
  if (may_extend_lease) this->Supersede();
  if (answer.outcome == OrderOutcome::kFenced) {
    this->ReplaceToken(request->token);
  }
  return request;
}

}  // namespace dandelionspur
