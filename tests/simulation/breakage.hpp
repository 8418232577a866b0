#ifndef SAVORYREACH_SIMULATION_BREAKAGE_HPP
#define SAVORYREACH_SIMULATION_BREAKAGE_HPP

#include <array>
#include <string_view>

namespace savoryreach::simulation
{

/// A deliberate fault of the harness; with it a run must report a violation.
enum class breakage
{
    none,
    double_start,     ///< an endpoint port runs each start twice, one after the other
    overlapping_stop, ///< an endpoint reports a stopped run as ended while it goes on
    endless_starts,   ///< an endpoint repeats a run many times
    altered_output,   ///< the network alters a task's output
    swapped_answer,   ///< an entry delivers an answer to another caller
    dropped_output,   ///< the last output of a complete answer is lost
    contradiction,    ///< a late copy of a completed job is told that its task failed
    false_not_run,    ///< a failed answer claims that nothing ran
    unheard_refusal,  ///< callers are told `not_run` for jobs that then run
    ignored_drain,    ///< an agent is not told of its drain
    early_ack,        ///< disks acknowledge before the sync and lose the writes
    restored_agent,   ///< an agent restarts with its old incarnation and no records
    silent_restart,   ///< processes restart within what the checker takes for one life
    altered_view,     ///< the network alters a declaration on its way
    altered_append,   ///< the network alters a replicated command
    stopped_clock,    ///< an isolated leader's clock stands still
    lost_answer,      ///< answers to some submissions are never delivered
    withheld_config,  ///< one agent never gets configuration changes
};

struct breakage_name
{
    breakage what;
    std::string_view name;
};

inline constexpr std::array breakage_names{
    breakage_name{breakage::none, ""},
    breakage_name{breakage::double_start, "double_start"},
    breakage_name{breakage::overlapping_stop, "overlapping_stop"},
    breakage_name{breakage::endless_starts, "endless_starts"},
    breakage_name{breakage::altered_output, "altered_output"},
    breakage_name{breakage::swapped_answer, "swapped_answer"},
    breakage_name{breakage::dropped_output, "dropped_output"},
    breakage_name{breakage::contradiction, "contradiction"},
    breakage_name{breakage::false_not_run, "false_not_run"},
    breakage_name{breakage::unheard_refusal, "unheard_refusal"},
    breakage_name{breakage::ignored_drain, "ignored_drain"},
    breakage_name{breakage::early_ack, "early_ack"},
    breakage_name{breakage::restored_agent, "restored_agent"},
    breakage_name{breakage::silent_restart, "silent_restart"},
    breakage_name{breakage::altered_view, "altered_view"},
    breakage_name{breakage::altered_append, "altered_append"},
    breakage_name{breakage::stopped_clock, "stopped_clock"},
    breakage_name{breakage::lost_answer, "lost_answer"},
    breakage_name{breakage::withheld_config, "withheld_config"},
};

} // namespace savoryreach::simulation

#endif
