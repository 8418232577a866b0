#include "savoryreach/keeper/keeper_core.hpp"

#include "savoryreach/keeper/keeper_service.hpp"

#include <utility>

namespace savoryreach::keeper
{

struct keeper_core::state
{
    keeper_service service;
};

keeper_core::keeper_core(const schema::keeper_settings& settings, stored_state stored,
                         keeper_ports ports)
    : settings_(settings), ports_(ports),
      state_(new state{keeper_service(settings_, std::move(stored), ports_)})
{
}

keeper_core::~keeper_core() = default;

void keeper_core::receive(const base::node_name& from, const schema::envelope& message)
{
    state_->service.receive(from, message);
}

void keeper_core::tick()
{
    state_->service.tick();
}

void keeper_core::persisted(std::uint64_t ticket)
{
    state_->service.persisted(ticket);
}

void keeper_core::storage_failed(const std::string& reason)
{
    state_->service.storage_failed(reason);
}

void keeper_core::storage_reopened(stored_state stored)
{
    state_.reset(new state{keeper_service(settings_, std::move(stored), ports_)});
    if (draining_)
    {
        state_->service.begin_drain();
    }
}

void keeper_core::begin_drain()
{
    draining_ = true;
    state_->service.begin_drain();
}

bool keeper_core::is_drained() const
{
    return state_->service.is_drained();
}

bool keeper_core::is_ready() const
{
    return state_->service.is_ready();
}

keeper_status keeper_core::status() const
{
    return state_->service.status();
}

std::uint64_t keeper_core::state_hash() const
{
    return state_->service.state_hash();
}

} // namespace savoryreach::keeper
