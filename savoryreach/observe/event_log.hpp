#ifndef SAVORYREACH_OBSERVE_EVENT_LOG_HPP
#define SAVORYREACH_OBSERVE_EVENT_LOG_HPP

#include "savoryreach/base/clock.hpp"
#include "savoryreach/observe/event_line.hpp"
#include "savoryreach/observe/event_sink.hpp"
#include "savoryreach/observe/hybrid_clock.hpp"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <ostream>
#include <pthread.h>
#include <string>

namespace savoryreach::observe
{

/// Writes one line per event from its own thread. The queue is bounded: when it is full, events are
/// dropped, counted, and reported by an event events_dropped with the field count.
class event_log final : public event_sink
{
public:
    static constexpr std::size_t default_capacity = 65'536;

    /// What the lines say about this process and its clocks. The referenced clocks outlive the log.
    struct origin
    {
        std::string process;
        hybrid_clock& hybrid;
        const base::clock& clock;
    };

    /// Appends to the file at \p path. Null when it can't be opened.
    [[nodiscard]] static std::unique_ptr<event_log> open(const std::string& path, origin from,
                                                         std::size_t capacity = default_capacity);

    event_log(std::unique_ptr<std::ostream> out, origin from,
              std::size_t capacity = default_capacity);

    /// Writes what is queued, then stops the thread.
    ~event_log() override;
    event_log(const event_log&) = delete;
    event_log& operator=(const event_log&) = delete;

    void record(std::string_view kind, std::initializer_list<event_field> fields) override;

    /// The epoch or incarnation, once it is known; 0 before.
    void set_incarnation(std::uint64_t incarnation) { incarnation_ = incarnation; }

    /// Events that were not written so far.
    [[nodiscard]] std::uint64_t dropped() const { return dropped_; }

private:
    static void* thread_entry(void* self);
    void run();
    void write(const std::deque<event_line>& batch);
    [[nodiscard]] event_line make_line(std::string_view kind) const;

    std::unique_ptr<std::ostream> out_;          ///< Used by the writer thread only.
    origin from_;                                ///< Process name and clocks.
    std::size_t capacity_;                       ///< Most events in the queue.
    std::atomic<std::uint64_t> incarnation_ = 0; ///< Written into each line.
    std::atomic<std::uint64_t> dropped_ = 0;     ///< Events lost so far.
    std::uint64_t reported_drops_ = 0;           ///< Used by the writer thread only.
    std::mutex mutex_;                           ///< Guards the members below.
    std::condition_variable changed_;            ///< Signalled when queue_ or stopping_ changes.
    std::deque<event_line> queue_;               ///< Events that the thread has not taken yet.
    bool stopping_ = false;                      ///< The thread ends when the queue is empty.
    pthread_t thread_ = {};                      ///< The writer thread.
};

} // namespace savoryreach::observe

#endif
