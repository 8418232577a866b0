#ifndef SAVORYREACH_SIMULATION_SIMULATED_OPERATORS_HPP
#define SAVORYREACH_SIMULATION_SIMULATED_OPERATORS_HPP

#include "tests/simulation/simulated_cluster.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace savoryreach::simulation
{

/// Two operators that apply declarations, often at the same version, and resend until answered.
class simulated_operators
{
public:
    explicit simulated_operators(simulated_cluster& cluster);

    void set_applying(bool is_applying);
    /// Applies one declaration; its revision is last_revision() once accepted.
    void apply_now();
    [[nodiscard]] std::uint64_t accepted() const { return accepted_; }
    [[nodiscard]] std::uint64_t refused() const { return refused_; }
    /// Highest revision of an accepted declaration.
    [[nodiscard]] std::uint64_t last_revision() const { return last_revision_; }

private:
    struct call
    {
        std::uint64_t id = 0; ///< 0 while none is open
        schema::declaration declaration;
        std::uint64_t sendings = 0;
    };

    void schedule(const std::string& name);
    void apply(const std::string& name);
    schema::declaration draw_declaration();
    void send(const std::string& name);
    void receive(const std::string& name, const schema::envelope& message);

    simulated_cluster& cluster_;
    bool is_applying_ = false;
    std::map<std::string, call> calls_;               ///< by operator
    std::map<std::string, std::uint64_t> versions_;   ///< highest known, by declaration
    std::map<std::string, schema::declaration> last_; ///< accepted, by declaration
    std::uint64_t last_id_ = 0;
    std::uint64_t accepted_ = 0;
    std::uint64_t refused_ = 0;
    std::uint64_t last_revision_ = 0;
};

} // namespace savoryreach::simulation

#endif
