#pragma once

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "clients/http_client.h"
#include "process/truth.h"

namespace berylgauge {

/// Callers that order through a balancer, which sends each request to the next entry that is ready.
class OrderLoad {
 public:
  struct Entry {
    std::string callers;    ///< IP:PORT
    std::string operators;  ///< IP:PORT
  };

  /// Starts `callers` threads that send orders one after the other until `Stop`.
  OrderLoad(std::vector<Entry> entries, int callers);
  ~OrderLoad() { Stop(); }
  OrderLoad(const OrderLoad&) = delete;
  OrderLoad& operator=(const OrderLoad&) = delete;

  /// Waits for the requests under way.
  void Stop();

  /// Requests answered in full so far.
  int Ran() const { return m_ran; }

  /// All requests so far.
  std::vector<OrderOutcome> Outcomes() const;

  /// The first request that was not answered in full and the number of them, or "none".
  std::string Lost() const;

 private:
  void Run(int caller);
  bool IsReady(const Entry& entry);
  OrderOutcome Order(const Entry& entry, const std::string& target, const std::string& body);

  const std::vector<Entry> m_entries;
  HttpClient m_http;
  mutable std::mutex m_mutex;
  std::vector<OrderOutcome> m_outcomes;
  std::atomic<int> m_ran = 0;
  std::atomic<bool> m_stopping = false;
  std::vector<std::thread> m_threads;
};

}  // namespace berylgauge
