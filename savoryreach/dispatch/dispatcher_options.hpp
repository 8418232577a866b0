#ifndef SAVORYREACH_DISPATCH_DISPATCHER_OPTIONS_HPP
#define SAVORYREACH_DISPATCH_DISPATCHER_OPTIONS_HPP

namespace savoryreach::dispatch
{

/// What a deployment's settings say to the dispatcher.
struct dispatcher_options
{
    /// Greatest factor by which a run takes longer on a rack that does not hold its data.
    double remote_factor = 2.0;

    friend bool operator==(const dispatcher_options&, const dispatcher_options&) = default;
};

} // namespace savoryreach::dispatch

#endif
