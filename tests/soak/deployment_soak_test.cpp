// Soak of whole deployments: the configuration while members of the core are lost, cut off,
// replaced and without power, and after a last fault that strikes everything. By the environment:
// SAVORYREACH_SOAK_SEEDS and SAVORYREACH_SOAK_FROM give the number of seeds and the first one,
// SAVORYREACH_SOAK_SECONDS the length, SAVORYREACH_SOAK_SHAPE a deployment, SAVORYREACH_SOAK_FAULTS
// the names of the faults, SAVORYREACH_SOAK_LAST the last fault.

#include "tests/soak/job_client.hpp"
#include "tests/soak/operators.hpp"

#include <gtest/gtest.h>

#include <array>
#include <functional>
#include <iostream>
#include <map>
#include <set>
#include <sstream>

namespace savoryreach::soak
{
namespace
{

/// Time after a fault in which nothing is promised.
constexpr milliseconds contact(3000);
/// Time for which a member that is back still counts as lost.
constexpr milliseconds catch_up(4000);
/// Time after which everything is served again when all had ended.
constexpr milliseconds recovery(12'000);
constexpr milliseconds restart_pause(300);
/// A front that was told to end does so within this time.
constexpr milliseconds grace(6000);

std::string environment(const char* name, const std::string& fallback)
{
    const char* text = std::getenv(name);
    return text == nullptr ? fallback : text;
}

std::int64_t number_of(const char* name, std::int64_t fallback)
{
    return std::stoll(environment(name, std::to_string(fallback)));
}

deployment_shape shape_of(const std::string& name)
{
    if (name == "vrhovnik")
    {
        return {name, 3, 3, 11, 1};
    }
    if (name == "pohl")
    {
        return {name, 4, 5, 11, 1};
    }
    if (name == "grown")
    {
        return {name, 5, 8, 51, 2};
    }
    return {"small", 4, 1, 2, 1};
}

class deployment_soak : public ::testing::TestWithParam<std::int64_t>
{
protected:
    deployment_soak() : random_(static_cast<std::uint64_t>(GetParam()))
    {
        folder_ = std::filesystem::temp_directory_path() /
                  ("savoryreach-deployment-" + std::to_string(::getpid()) + "-" +
                   std::to_string(GetParam()));
        std::filesystem::create_directories(folder_);
        fleet_ = std::make_unique<deployment>(shape_of(environment("SAVORYREACH_SOAK_SHAPE", "")),
                                              folder_, jobs_, random_());
        std::istringstream names(environment("SAVORYREACH_SOAK_FAULTS", ""));
        for (std::string it; names >> it;)
        {
            chosen_.push_back(it);
        }
        if (chosen_.empty())
        {
            for (const auto& [name, it] : all_faults)
            {
                chosen_.push_back(name);
            }
        }
    }
    ~deployment_soak() override
    {
        clients_end_ = true;
        for (auto& it : clients_)
        {
            it.join();
        }
        operators_.reset();
        fleet_.reset();
        if (!HasFailure())
        {
            std::filesystem::remove_all(folder_);
        }
    }

    // ---- what may be lost ----

    std::uint64_t draw(std::uint64_t n) { return random_() % n; }
    milliseconds between(int from_ms, int to_ms)
    {
        return milliseconds(from_ms + static_cast<int>(draw(to_ms - from_ms)));
    }
    process* any_of(const std::vector<process*>& all) { return all[draw(all.size())]; }
    process* any_process() { return fleet_->all()[draw(fleet_->all().size())].get(); }

    void note(const std::string& what)
    {
        const auto ms = std::chrono::duration_cast<milliseconds>(clock::now() - began_).count();
        std::ofstream(folder_ / "faults.log", std::ios::app) << ms << " " << what << "\n";
    }
    /// The last fault takes as many disks as may be lost at once, so none may be lost before.
    [[nodiscard]] bool is_any_disk_lost() const
    {
        return std::ranges::any_of(disk_lost_until_, [now = clock::now()](const auto& it)
                                   { return it.second > now; });
    }
    enum class loss
    {
        passing,
        of_disk
    };
    /// True when \p it may be lost for \p length beside what is lost already; then it is. No more
    /// disks are lost at once than the deployment bears. More hosts may be lost for a while:
    /// service may then be suspended until all have been back for some time.
    bool may_lose(process& it, milliseconds length, loss kind = loss::passing)
    {
        if (it.has_disk())
        {
            const auto now = clock::now();
            const auto is_over = [now](const auto& entry)
            {
                return entry.second <= now;
            };
            std::erase_if(lost_until_, is_over);
            std::erase_if(disk_lost_until_, is_over);
            const auto tolerated = static_cast<std::size_t>(fleet_->shape().tolerated);
            const bool exceeds = !lost_until_.contains(&it) && lost_until_.size() >= tolerated;
            // One that is lost is seldom struck again: the others would hardly ever be chosen.
            if ((lost_until_.contains(&it) || exceeds) && draw(6) != 0)
            {
                return false;
            }
            if (kind == loss::of_disk)
            {
                if (!disk_lost_until_.contains(&it) && disk_lost_until_.size() >= tolerated)
                {
                    return false;
                }
                disk_lost_until_[&it] = now + length + catch_up;
            }
            lost_until_[&it] = std::max(lost_until_[&it], now + length + catch_up);
            if (exceeds)
            {
                operators_->excuse_until(now + length + recovery);
            }
        }
        disturb(length);
        return true;
    }
    void disturb(milliseconds length) { operators_->excuse_until(clock::now() + length + contact); }
    /// A process may end by itself while its disk is faulty, and within a second of that.
    void disturb_disk(process& it, milliseconds length)
    {
        auto& until = disk_fault_until_[&it];
        until = std::max(until, clock::now() + length + milliseconds(1000));
    }
    void later(milliseconds pause, std::function<void()> what)
    {
        repairs_.emplace(clock::now() + pause, std::move(what));
    }
    void repair(clock::time_point until)
    {
        while (!repairs_.empty() && repairs_.begin()->first <= until)
        {
            const auto what = repairs_.begin()->second;
            repairs_.erase(repairs_.begin());
            what();
        }
    }
    void start_later(process& it, milliseconds pause)
    {
        later(pause,
              [this, &it]
              {
                  if (!it.is_running() && !gone_.contains(&it))
                  {
                      it.start(false);
                  }
              });
    }
    /// A process that ends by itself is started again, as the platform does.
    void check_processes()
    {
        for (const auto& it : fleet_->all())
        {
            const auto status = it->ended();
            if (!status)
            {
                continue;
            }
            const auto disk_fault = disk_fault_until_.find(it.get());
            if (disk_fault != disk_fault_until_.end() && clock::now() < disk_fault->second)
            {
                note(it->name() + " has ended by itself on a faulty disk");
            }
            else if (!ending_.erase(it.get()))
            {
                configurations_.violation(it->name() + " has ended by itself, status " +
                                          std::to_string(*status) + ", see " + it->log_file());
            }
            start_later(*it, restart_pause);
        }
    }

    // ---- faults ----

    bool kill()
    {
        auto& it = *any_process();
        const auto pause = between(100, 3000);
        if (!may_lose(it, pause))
        {
            return false;
        }
        note("kill " + it.name());
        it.kill();
        ending_.erase(&it);
        start_later(it, pause);
        return true;
    }
    bool power()
    {
        auto& it = *any_of(fleet_->core());
        const auto pause = between(300, 3500);
        if (!may_lose(it, pause))
        {
            return false;
        }
        note("power " + it.name());
        it.lose_power(random_());
        ending_.erase(&it);
        start_later(it, pause);
        return true;
    }
    bool freeze()
    {
        auto& it = *any_process();
        const auto pause = between(200, 4000);
        if (!may_lose(it, pause))
        {
            return false;
        }
        note("freeze " + it.name() + " " + std::to_string(pause.count()));
        it.signal(SIGSTOP);
        later(pause, [&it] { it.signal(SIGCONT); });
        return true;
    }
    bool term()
    {
        auto& it = *any_process();
        if (!may_lose(it, grace))
        {
            return false;
        }
        note("term " + it.name());
        ending_.insert(&it);
        it.signal(SIGTERM);
        later(grace,
              [this, &it]
              {
                  if (ending_.erase(&it))
                  {
                      it.kill();
                      start_later(it, restart_pause);
                  }
              });
        return true;
    }
    /// Restarts a process and tells it at once that its settings have changed.
    bool hangup()
    {
        auto& it = *any_process();
        if (!may_lose(it, restart_pause))
        {
            return false;
        }
        note("hangup at the start of " + it.name());
        it.kill();
        ending_.erase(&it);
        it.start(false);
        const auto end = clock::now() + milliseconds(1000);
        while (!it.takes_hangup() && clock::now() < end)
        {
            std::this_thread::yield();
        }
        it.signal(SIGHUP);
        for (int n = 0; n < 4; ++n)
        {
            later(milliseconds(1 + draw(60)), [&it] { it.signal(SIGHUP); });
        }
        return true;
    }
    bool wipe()
    {
        auto& it = *any_of(fleet_->core());
        const auto pause = between(300, 3000);
        if (!may_lose(it, pause, loss::of_disk))
        {
            return false;
        }
        note("wipe " + it.name());
        it.lose_disk();
        ending_.erase(&it);
        start_later(it, pause);
        return true;
    }
    /// One member is gone for good, an empty one comes at another address.
    bool replace()
    {
        constexpr std::size_t most_added = 12;
        auto& it = *any_of(fleet_->core());
        const auto pause = between(500, 1500);
        if (gone_.size() >= most_added || !may_lose(it, pause, loss::of_disk))
        {
            return false;
        }
        note("replace " + it.name());
        it.kill();
        ending_.erase(&it);
        gone_.insert(&it);
        fleet_->remove_front(it);
        auto& added = fleet_->add_front(true);
        disk_lost_until_[&added] = lost_until_[&added] = lost_until_[&it];
        start_later(added, pause);
        return true;
    }
    bool seeds()
    {
        note("seeds");
        const auto all = fleet_->fronts();
        Json::Value chosen;
        for (std::size_t n = 0, at = draw(all.size()); n < 3 && n < all.size(); ++n)
        {
            chosen.append(deployment::control_address(all[(at + n) % all.size()]->ip()));
        }
        fleet_->set_seeds(chosen);
        return true;
    }
    /// The host does not reach some others, or they not it, or neither.
    bool cut()
    {
        auto& it = *any_process();
        const auto pause = between(300, 5500);
        if (!may_lose(it, pause))
        {
            return false;
        }
        const auto how =
            static_cast<reach>(1 + draw(static_cast<std::uint64_t>(reach::last_value) - 1));
        const bool from_core_only = draw(2) == 0;
        note("cut " + it.name() + " " + std::to_string(static_cast<int>(how)) +
             (from_core_only ? " from the core " : " ") + std::to_string(pause.count()));
        for (const auto& other : fleet_->all())
        {
            if (other.get() != &it && (other->has_disk() || !from_core_only))
            {
                set_reach(it, *other, how);
            }
        }
        later(pause, [this, &it] { heal(it); });
        return true;
    }
    static std::size_t last_byte(const process& it)
    {
        const auto ip = it.ip();
        return std::stoul(ip.substr(ip.rfind('.') + 1));
    }
    static void set_reach(process& one, process& other, reach how)
    {
        one.faults().reaches[last_byte(other)] = how;
        const auto reverse = how == reach::hears      ? reach::is_heard
                             : how == reach::is_heard ? reach::hears
                                                      : how;
        other.faults().reaches[last_byte(one)] = reverse;
    }
    void heal(process& it)
    {
        for (const auto& other : fleet_->all())
        {
            if (other.get() != &it)
            {
                set_reach(it, *other, reach::both);
            }
        }
    }
    /// The core in two halves, which all other hosts reach.
    bool split()
    {
        const auto pause = between(1000, 5000);
        note("split " + std::to_string(pause.count()));
        const auto core = fleet_->core();
        const auto from = draw(core.size());
        for (std::size_t a = 0; a < core.size() / 2; ++a)
        {
            for (std::size_t b = core.size() / 2; b < core.size(); ++b)
            {
                set_reach(*core[(from + a) % core.size()], *core[(from + b) % core.size()],
                          reach::none);
            }
        }
        disturb(pause + catch_up);
        later(pause,
              [this, core]
              {
                  for (auto* it : core)
                  {
                      heal(*it);
                  }
              });
        return true;
    }
    bool clock_step()
    {
        auto& it = *any_process();
        const auto pause = between(500, 5000);
        note("clock " + it.name());
        it.faults().clock_offset_ms = static_cast<std::int64_t>(draw(4000)) - 2000;
        later(pause, [&it] { it.faults().clock_offset_ms = 0; });
        return true;
    }
    bool disk()
    {
        auto& it = *any_of(fleet_->core());
        const auto pause = between(300, 4500);
        if (!may_lose(it, pause))
        {
            return false;
        }
        disturb_disk(it, pause);
        switch (draw(3))
        {
        case 0:
            note("disk full " + it.name());
            it.fill_disk();
            later(pause, [&it] { it.free_disk(); });
            break;
        case 1:
            note("disk slow " + it.name());
            it.slow_disk(270);
            later(pause, [&it] { it.slow_disk(0); });
            break;
        default:
            note("disk stalls " + it.name());
            it.stall_disk();
            later(pause, [&it] { it.resume_disk(); });
        }
        return true;
    }
    /// The disk of one member takes no changes for 4 s.
    bool full()
    {
        constexpr milliseconds length(4000);
        auto& it = *any_of(fleet_->core());
        if (!may_lose(it, length))
        {
            return false;
        }
        note("disk full " + it.name());
        disturb_disk(it, length);
        it.fill_disk();
        later(length, [&it] { it.free_disk(); });
        return true;
    }
    /// A member starts while its disk takes no changes.
    bool full_start()
    {
        constexpr milliseconds length(3000);
        auto& it = *any_of(fleet_->core());
        if (!may_lose(it, length))
        {
            return false;
        }
        note("start on a full disk " + it.name());
        it.kill();
        ending_.erase(&it);
        disturb_disk(it, length);
        it.fill_disk();
        start_later(it, restart_pause);
        later(length, [&it] { it.free_disk(); });
        return true;
    }
    /// An operator sends a configuration that is not UTF-8.
    bool text()
    {
        auto& it = *any_of(fleet_->fronts());
        const int status = operators::send_foreign_text(it.ip());
        note("text " + it.name() + ": " + std::to_string(status));
        if (status == 200)
        {
            configurations_.violation(it.name() + " acknowledges a text that is not UTF-8");
        }
        return true;
    }
    /// All processes of the core end at once while they write.
    bool kill_core()
    {
        note("kill the core");
        const auto pause = between(100, 1000);
        end_all(fleet_->core(), false);
        for (auto* it : fleet_->core())
        {
            start_later(*it, pause + milliseconds(draw(300)));
        }
        operators_->excuse_until(clock::now() + pause + recovery);
        return true;
    }
    /// All processes of the core end at once, with or without a loss of power.
    bool herd()
    {
        const bool without_power = draw(2) == 0;
        const auto pause = without_power ? between(500, 9500) : between(100, 1000);
        note(without_power ? "power of the core" : "kill the core");
        end_all(fleet_->core(), without_power);
        for (auto* it : fleet_->core())
        {
            start_later(*it, pause + milliseconds(draw(300)));
        }
        operators_->excuse_until(clock::now() + pause + recovery);
        return true;
    }
    void end_all(const std::vector<process*>& all, bool without_power)
    {
        for (auto* it : all)
        {
            it->signal(SIGKILL);
        }
        for (auto* it : all)
        {
            ending_.erase(it);
            without_power && it->has_disk() ? it->lose_power(random_()) : it->kill();
        }
    }
    /// Callers open more connections to one front than it has descriptors, and keep them.
    bool connections()
    {
        auto& it = *any_of(fleet_->fronts());
        const auto pause = between(1000, 4000);
        note("connections " + it.name());
        auto held = std::make_shared<std::vector<boost::asio::ip::tcp::socket>>();
        for (rlim_t n = 0; n < descriptors + 50; ++n)
        {
            boost::system::error_code ec;
            held->emplace_back(idle_io_);
            held->back().open(boost::asio::ip::tcp::v4());
            held->back().non_blocking(true);
            held->back().connect({boost::asio::ip::make_address(it.ip()), deployment::client_port},
                                 ec);
        }
        later(pause, [held] { held->clear(); });
        return true;
    }
    /// The front that has just acknowledged a configuration is lost, with its disk or without
    /// power.
    bool strike_acknowledger()
    {
        const auto before = operators_->acknowledgements();
        const auto end = clock::now() + milliseconds(2000);
        while (operators_->acknowledgements() == before)
        {
            if (clock::now() > end)
            {
                return false;
            }
            std::this_thread::sleep_for(std::chrono::microseconds(200));
        }
        for (auto* it : fleet_->core())
        {
            const auto pause = between(300, 3000);
            const bool loses_disk = draw(2) == 0;
            if (it->ip() == operators_->last_acknowledger() &&
                may_lose(*it, pause, loses_disk ? loss::of_disk : loss::passing))
            {
                note((loses_disk ? "wipe after ack " : "power after ack ") + it->name());
                loses_disk ? it->lose_disk() : it->lose_power(random_());
                ending_.erase(it);
                start_later(*it, pause);
                return true;
            }
        }
        return false;
    }

    // ---- the run ----

    void be_client(std::uint64_t seed)
    {
        std::mt19937_64 random(seed);
        while (!clients_end_)
        {
            const auto all = fleet_->addresses();
            httplib::Client to(all[random() % all.size()], deployment::client_port);
            to.set_keep_alive(true);
            to.set_connection_timeout(0, 300'000);
            to.set_read_timeout(client_deadline_ms / 1000 + 1, 0);
            int status = 200;
            while (status != 0 && !clients_end_)
            {
                status = send_job(to, jobs_, lasting_queue, job_id(random()),
                                  1 + static_cast<int>(random() % 3), false);
                std::this_thread::sleep_for(milliseconds(random() % 60));
            }
        }
    }
    /// Until every running front gives the configuration and a new one is acknowledged; what is
    /// missing after \p limit.
    std::string wait_until_served(milliseconds limit)
    {
        const auto end = clock::now() + limit;
        std::string missing;
        do
        {
            check_processes();
            repair(clock::now());
            missing.clear();
            for (auto* it : fleet_->fronts())
            {
                const int status = operators::read_at(it->ip(), configurations_);
                missing += status == 200 ? "" : it->name() + ":" + std::to_string(status) + " ";
            }
            if (missing.empty())
            {
                return missing;
            }
            std::this_thread::sleep_for(milliseconds(50));
        } while (clock::now() < end);
        return missing;
    }
    /// Ends with an acknowledged configuration that no other has followed.
    bool acknowledge_last(std::int64_t version)
    {
        const auto last = operators::make(version);
        configurations_.sent(version, last.body, last.prefixes);
        const auto end = clock::now() + recovery;
        while (clock::now() < end)
        {
            check_processes();
            repair(clock::now());
            for (auto* it : fleet_->fronts())
            {
                if (operators::send(it->ip(), last.body) == 200)
                {
                    configurations_.acknowledged(version);
                    return true;
                }
            }
        }
        return false;
    }
    /// Strikes everything at once, right after an acknowledgement.
    void strike_last()
    {
        static const std::array<std::string, 4> names = {"kill", "power", "disks", "disks-kill"};
        const auto how = environment("SAVORYREACH_SOAK_LAST", names[draw(names.size())]);
        note("last fault: " + how);
        std::vector<process*> all;
        for (const auto& it : fleet_->all())
        {
            if (!gone_.contains(it.get()))
            {
                all.push_back(it.get());
            }
        }
        end_all(all, how == "power" || how == "disks");
        if (how == "disks" || how == "disks-kill")
        {
            const auto core = fleet_->core();
            const auto from = draw(core.size());
            for (std::size_t n = 0; n < static_cast<std::size_t>(fleet_->shape().tolerated); ++n)
            {
                note("without disk " + core[(from + n) % core.size()]->name());
                core[(from + n) % core.size()]->lose_disk();
            }
        }
        std::this_thread::sleep_for(between(400, 1600));
        std::ranges::shuffle(all, random_);
        for (auto* it : all)
        {
            std::this_thread::sleep_for(milliseconds(draw(300 / all.size() + 1)));
            it->start(false);
        }
    }
    void be_harmful()
    {
        const auto end =
            clock::now() + std::chrono::seconds(number_of("SAVORYREACH_SOAK_SECONDS", 8));
        auto next_fault_at = clock::now() + milliseconds(500);
        while (clock::now() < end)
        {
            check_processes();
            repair(clock::now());
            if (clock::now() >= next_fault_at)
            {
                const auto name = chosen_[draw(chosen_.size())];
                if ((this->*all_faults.at(name))())
                {
                    next_fault_at = clock::now() + between(50, 1500);
                }
            }
            std::this_thread::sleep_for(milliseconds(5));
        }
    }

    void run()
    {
        for (const auto& it : fleet_->all())
        {
            it->limit_descriptors(descriptors);
        }
        ASSERT_TRUE(acknowledge_last(1)) << "no configuration is acknowledged after the start";
        operators_ = std::make_unique<operators>(*fleet_, configurations_, random_());
        operators_->excuse_until(clock::now() + catch_up);
        for (int n = 0; n < 3; ++n)
        {
            clients_.emplace_back([this, seed = random_()] { be_client(seed); });
        }
        be_harmful();
        while (!repairs_.empty())
        {
            check_processes();
            repair(repairs_.begin()->first);
        }
        EXPECT_EQ(wait_until_served(recovery), "") << "not served after the faults";
        while (is_any_disk_lost())
        {
            check_processes();
            std::this_thread::sleep_for(milliseconds(20));
        }
        operators_->stop();
        constexpr std::int64_t last_version = 1'000'000;
        EXPECT_TRUE(acknowledge_last(last_version)) << "no change is acknowledged after the faults";
        const auto served_before = jobs_.completed_jobs();
        strike_last();
        EXPECT_EQ(wait_until_served(recovery), "") << "not served after the last fault";
        EXPECT_TRUE(acknowledge_last(last_version + 1))
            << "no change is acknowledged after the last fault";
        std::this_thread::sleep_for(configuration_watch::apply_bound);
        for (auto* it : fleet_->fronts())
        {
            EXPECT_EQ(operators::read_at(it->ip(), configurations_), 200) << it->name();
        }
        clients_end_ = true;
        EXPECT_GT(jobs_.completed_jobs(), served_before) << "no job is served after the last fault";
        for (const auto& it : configurations_.violations())
        {
            ADD_FAILURE() << it;
        }
        for (const auto& it : jobs_.violations())
        {
            ADD_FAILURE() << it;
        }
        std::cout << "seed " << GetParam() << ": " << configurations_.summary() << ", "
                  << jobs_.completed_jobs() << " jobs completed, logs in " << folder_ << "\n";
    }

    using fault = bool (deployment_soak::*)();
    static constexpr rlim_t descriptors = 400;
    inline static const std::map<std::string, fault> all_faults = {
        {"kill", &deployment_soak::kill},
        {"power", &deployment_soak::power},
        {"freeze", &deployment_soak::freeze},
        {"term", &deployment_soak::term},
        {"hangup", &deployment_soak::hangup},
        {"wipe", &deployment_soak::wipe},
        {"replace", &deployment_soak::replace},
        {"seeds", &deployment_soak::seeds},
        {"cut", &deployment_soak::cut},
        {"split", &deployment_soak::split},
        {"clock", &deployment_soak::clock_step},
        {"disk", &deployment_soak::disk},
        {"herd", &deployment_soak::herd},
        {"full", &deployment_soak::full},
        {"full_start", &deployment_soak::full_start},
        {"text", &deployment_soak::text},
        {"kill_core", &deployment_soak::kill_core},
        {"connections", &deployment_soak::connections},
        {"acknowledger", &deployment_soak::strike_acknowledger},
    };

    std::mt19937_64 random_;
    std::filesystem::path folder_;
    watch jobs_;
    configuration_watch configurations_;
    std::vector<std::string> chosen_;
    boost::asio::io_context idle_io_;
    std::unique_ptr<deployment> fleet_;
    std::unique_ptr<operators> operators_;
    std::vector<std::thread> clients_;
    std::atomic<bool> clients_end_ = false;
    clock::time_point began_ = clock::now();
    std::multimap<clock::time_point, std::function<void()>> repairs_;
    std::map<process*, clock::time_point> lost_until_;
    std::map<process*, clock::time_point> disk_lost_until_;
    std::map<process*, clock::time_point> disk_fault_until_;
    std::set<process*> ending_; ///< told to end
    std::set<process*> gone_;   ///< for good
};

TEST_P(deployment_soak, acknowledged_configuration_stays_in_force)
{
    run();
}

std::string seed_name(const ::testing::TestParamInfo<std::int64_t>& it)
{
    return "seed_" + std::to_string(it.param);
}

const auto fresh_seeds = ::testing::Range<std::int64_t>(number_of("SAVORYREACH_SOAK_FROM", 1),
                                                        number_of("SAVORYREACH_SOAK_FROM", 1) +
                                                            number_of("SAVORYREACH_SOAK_SEEDS", 2));
INSTANTIATE_TEST_SUITE_P(fresh, deployment_soak, fresh_seeds, seed_name);

} // namespace
} // namespace savoryreach::soak
