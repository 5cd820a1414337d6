#include "transport/event_loop.h"

#include <pthread.h>
#include <signal.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <condition_variable>
#include <system_error>
#include <utility>

#include "transport/io_handler.h"

namespace berylgauge {
namespace {

constexpr int kMaxEventsPerPoll = 128;
constexpr std::uint64_t kWakeupToken = 0;
constexpr std::size_t kMaxThreadNameLength = 15;

// Deferred tasks may defer others (a callback sends a request, which needs a write). A few passes save a system call
// for each; the bound keeps a callback that always sends again from starving the descriptors.
constexpr int kMaxDeferredPasses = 8;

// Long enough to be rare, short enough not to overflow the argument of epoll_wait.
constexpr std::int64_t kMaxPollMillis = 60'000;

thread_local const EventLoop* t_current_loop = nullptr;

[[noreturn]] void ThrowErrno(const char* what) { throw std::system_error(errno, std::generic_category(), what); }

}  // namespace

EventLoop::EventLoop(const std::string& thread_name)
    : m_epoll(epoll_create1(EPOLL_CLOEXEC)), m_wakeup(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)), m_now(m_clock.Now()) {
  if (!m_epoll.valid()) ThrowErrno("epoll_create1");
  if (!m_wakeup.valid()) ThrowErrno("eventfd");
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.u64 = kWakeupToken;
  if (epoll_ctl(m_epoll.get(), EPOLL_CTL_ADD, m_wakeup.get(), &event) != 0) ThrowErrno("epoll_ctl");

  // The thread inherits a full signal mask, so that signals of the process reach the thread that waits for them.
  sigset_t all;
  sigset_t former;
  sigfillset(&all);
  pthread_sigmask(SIG_SETMASK, &all, &former);
  try {
    m_thread = std::thread([this] { Run(); });
  } catch (...) {
    pthread_sigmask(SIG_SETMASK, &former, nullptr);
    throw;
  }
  pthread_sigmask(SIG_SETMASK, &former, nullptr);
  pthread_setname_np(m_thread.native_handle(), thread_name.substr(0, kMaxThreadNameLength).c_str());
}

EventLoop::~EventLoop() {
  Post([this] { m_stopping = true; });
  m_thread.join();
}

void EventLoop::Post(Task task) {
  bool wake = false;
  {
    const std::lock_guard lock(m_mutex);
    m_posted.push_back(std::move(task));
    wake = !std::exchange(m_awake, true);
  }
  if (wake) Wake();
}

void EventLoop::RunSync(Task task) {
  if (IsInLoopThread()) {
    task();
    return;
  }
  std::mutex mutex;
  std::condition_variable changed;
  bool done = false;
  Post([&] {
    task();
    // Notified under the lock, so that the waiting thread destroys nothing that is still in use here.
    const std::lock_guard lock(mutex);
    done = true;
    changed.notify_one();
  });
  std::unique_lock lock(mutex);
  changed.wait(lock, [&] { return done; });
}

bool EventLoop::IsInLoopThread() const { return t_current_loop == this; }

std::uint64_t EventLoop::Watch(int fd, std::uint32_t events, IoHandler* handler) {
  const std::uint64_t token = ++m_last_token;
  epoll_event event{};
  event.events = events;
  event.data.u64 = token;
  if (epoll_ctl(m_epoll.get(), EPOLL_CTL_ADD, fd, &event) != 0) return 0;
  m_handlers.emplace(token, handler);
  return token;
}

void EventLoop::ChangeWatch(std::uint64_t token, int fd, std::uint32_t events) {
  epoll_event event{};
  event.events = events;
  event.data.u64 = token;
  epoll_ctl(m_epoll.get(), EPOLL_CTL_MOD, fd, &event);
}

void EventLoop::Unwatch(std::uint64_t token, int fd) {
  if (m_handlers.erase(token) == 0) return;
  epoll_ctl(m_epoll.get(), EPOLL_CTL_DEL, fd, nullptr);
}

void EventLoop::Run() {
  t_current_loop = this;
  while (!m_stopping) {
    HandleEvents(PollTimeoutMillis());
    m_timers.RunDue(m_now);
    RunPosted();
    RunDeferred();
  }
}

int EventLoop::PollTimeoutMillis() {
  if (!m_deferred.empty()) return 0;
  const MonotonicTime deadline = m_timers.NextDeadline();
  std::int64_t millis = kMaxPollMillis;
  if (deadline < InfiniteFuture()) {
    // Rounded up, because waking early would spin until the deadline.
    const absl::Duration wait = absl::Ceil(deadline - m_clock.Now(), absl::Milliseconds(1));
    millis = std::clamp<std::int64_t>(absl::ToInt64Milliseconds(wait), 0, kMaxPollMillis);
  }
  const std::lock_guard lock(m_mutex);
  if (!m_posted.empty()) return 0;
  if (millis > 0) m_awake = false;
  return static_cast<int>(millis);
}

void EventLoop::HandleEvents(int timeout_millis) {
  std::array<epoll_event, kMaxEventsPerPoll> events;
  const int count = epoll_wait(m_epoll.get(), events.data(), kMaxEventsPerPoll, timeout_millis);
  {
    const std::lock_guard lock(m_mutex);
    m_awake = true;
  }
  m_now = m_clock.Now();
  for (int i = 0; i < count; ++i) {
    const std::uint64_t token = events[i].data.u64;
    if (token == kWakeupToken) {
      eventfd_t ignored = 0;
      eventfd_read(m_wakeup.get(), &ignored);
      continue;
    }
    // Looked up for each event, because an earlier handler of this batch may have removed it.
    const auto found = m_handlers.find(token);
    if (found != m_handlers.end()) found->second->OnIo(events[i].events);
  }
}

void EventLoop::RunPosted() {
  std::vector<Task> tasks;
  {
    const std::lock_guard lock(m_mutex);
    tasks.swap(m_posted);
  }
  for (Task& task : tasks) task();
}

void EventLoop::RunDeferred() {
  for (int pass = 0; pass < kMaxDeferredPasses && !m_deferred.empty(); ++pass) {
    std::vector<Task> tasks;
    tasks.swap(m_deferred);
    for (Task& task : tasks) task();
  }
}

void EventLoop::Wake() const { eventfd_write(m_wakeup.get(), 1); }

}  // namespace berylgauge
