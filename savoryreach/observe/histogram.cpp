#include "savoryreach/observe/histogram.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <algorithm>
#include <cmath>
#include <iterator>

namespace savoryreach::observe
{
namespace
{

namespace acc = boost::accumulators;

// The estimator starts from 5 values and is far off until it has seen some more; up to this count
// the values are kept and the quantiles are exact.
constexpr std::size_t exact_values = 32;

using quantile_set = acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>>;

} // namespace

struct histogram::accumulators
{
    accumulators()
    {
        for (const double p : probabilities)
        {
            quantiles.emplace_back(acc::quantile_probability = p);
        }
    }

    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::mean>> set;
    std::vector<quantile_set> quantiles; ///< one for each of `probabilities`
    std::vector<double> first;           ///< the first values
};

histogram::histogram() : state_(std::make_unique<accumulators>()) {}

histogram::~histogram() = default;

void histogram::observe(double value)
{
    if (!std::isfinite(value))
    {
        return;
    }
    const std::lock_guard guard(mutex_);
    state_->set(value);
    for (quantile_set& it : state_->quantiles)
    {
        it(value);
    }
    if (state_->first.size() < exact_values)
    {
        state_->first.push_back(value);
    }
}

histogram::summary histogram::read() const
{
    const std::lock_guard guard(mutex_);
    summary out;
    out.count = acc::count(state_->set);
    if (out.count == 0)
    {
        return out;
    }
    out.sum = acc::sum(state_->set);
    out.mean = acc::mean(state_->set);
    if (out.count > state_->first.size())
    {
        for (const quantile_set& it : state_->quantiles)
        {
            out.quantiles.push_back(acc::p_square_quantile(it));
        }
        return out;
    }
    std::vector<double> sorted = state_->first;
    std::ranges::sort(sorted);
    for (const double p : probabilities)
    {
        const auto rank = static_cast<std::size_t>(p * static_cast<double>(sorted.size()));
        out.quantiles.push_back(sorted[std::min(rank, sorted.size() - 1)]);
    }
    return out;
}

} // namespace savoryreach::observe
