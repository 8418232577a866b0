#ifndef SAVORYREACH_SIMULATION_TAMPERING_HPP
#define SAVORYREACH_SIMULATION_TAMPERING_HPP

#include "schema/generated/wire.pb.h"
#include "tests/simulation/breakage.hpp"

#include <string>

namespace savoryreach::simulation
{

/// Alters delivered messages as the run's breakage demands; without one changes nothing.
class tampering
{
public:
    explicit tampering(breakage broken) : broken_(broken) {}

    [[nodiscard]] bool is_active() const;
    void alter(const std::string& to, schema::envelope& message) const;

private:
    breakage broken_;
};

/// The view that \p message carries, or nullptr.
schema::cluster_view* view_in(schema::envelope& message);

} // namespace savoryreach::simulation

#endif
