#include "savoryreach/entry/claim_client.hpp"

#include <absl/strings/str_cat.h>

#include <utility>

namespace savoryreach::entry
{

claim_client::claim_client(entry_context& context, keeper_client& keepers, claim_handler on_claim,
                           finish_handler on_finish)
    : context_(context), keepers_(keepers), on_claim_(std::move(on_claim)),
      on_finish_(std::move(on_finish))
{
}

void claim_client::restart(std::uint64_t epoch)
{
    epoch_ = epoch;
    claims_.clear();
    finishes_.clear();
    sent_claims_.clear();
    sent_finishes_.clear();
}

void claim_client::claim(const std::string& submission_id, const std::string& digest)
{
    schema::claim it;
    it.set_submission_id(submission_id);
    it.set_digest(digest);
    claims_.push_back(std::move(it));
}

void claim_client::finish(const std::string& submission_id)
{
    if (finishes_.empty())
    {
        send_finishes_at_ = context_.now() + finish_delay;
    }
    finishes_.push_back(submission_id);
}

bool claim_client::is_idle() const
{
    return claims_.empty() && finishes_.empty() && sent_claims_.empty() && sent_finishes_.empty();
}

void claim_client::tick()
{
    if (epoch_ == 0)
    {
        return;
    }
    if (sent_claims_.empty() && !claims_.empty())
    {
        send_claims();
    }
    const auto now = context_.now();
    const bool is_due = send_finishes_at_ <= now || finishes_.size() >= max_batch;
    if (sent_finishes_.empty() && !finishes_.empty() && is_due)
    {
        send_finishes();
    }
}

void claim_client::send_claims()
{
    schema::keeper_request request;
    auto& batch = *request.mutable_claims();
    batch.set_owner_epoch(epoch_);
    while (!claims_.empty() && sent_claims_.size() < max_batch)
    {
        *batch.add_claims() = claims_.front();
        sent_claims_.push_back(std::move(claims_.front()));
        claims_.pop_front();
    }
    context_.ports.events.record("claim_sent", {{"claims", absl::StrCat(sent_claims_.size())}});
    keepers_.call(std::move(request),
                  [this, epoch = epoch_](const schema::keeper_reply& reply, absl::Time)
                  {
                      if (epoch == epoch_)
                      {
                          claims_answered(reply);
                      }
                  });
}

void claim_client::claims_answered(const schema::keeper_reply& reply)
{
    const auto batch = std::exchange(sent_claims_, {});
    const auto& results = reply.claims().results();
    const auto epoch = epoch_;
    for (std::size_t n = 0; n < batch.size(); ++n)
    {
        if (n >= static_cast<std::size_t>(results.size()))
        {
            // The reply has fewer results than the batch has claims; the rest is claimed again.
            claims_.push_back(batch[n]);
            continue;
        }
        on_claim_(batch[n], results[static_cast<int>(n)]);
        if (epoch != epoch_)
        {
            return;
        }
    }
}

void claim_client::send_finishes()
{
    schema::keeper_request request;
    auto& batch = *request.mutable_finishes();
    batch.set_owner_epoch(epoch_);
    while (!finishes_.empty() && sent_finishes_.size() < max_batch)
    {
        batch.add_submission_ids(finishes_.front());
        sent_finishes_.push_back(std::move(finishes_.front()));
        finishes_.pop_front();
    }
    keepers_.call(std::move(request),
                  [this, epoch = epoch_](const schema::keeper_reply&, absl::Time)
                  {
                      if (epoch == epoch_)
                      {
                          finishes_answered();
                      }
                  });
}

void claim_client::finishes_answered()
{
    for (const auto& it : std::exchange(sent_finishes_, {}))
    {
        on_finish_(it);
    }
}

} // namespace savoryreach::entry
