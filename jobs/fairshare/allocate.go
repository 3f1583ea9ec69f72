package fairshare

import (
	"cmp"
	"math"
	"slices"
)

// Demand is what a client account asks for in a cell, in dominant shares.
type Demand struct {
	Account string
	// Weight is the account's relative share; with 0 it gets what the others leave.
	Weight float64
	// Used is the share of its runs.
	Used float64
	// Within is the share that its runs and waiting tasks need, as far as their jobs
	// arrived within the account's rate, Total that of all of them.
	Within, Total float64
	// WithinBacklog and Backlog are the unfinished work of its jobs, in shares times
	// seconds, the former of those within its rate.
	WithinBacklog, Backlog float64
	// Waiting is the part of Backlog that could run now and has no run.
	Waiting float64
}

// Entitlement is what an account may use now, in dominant shares.
type Entitlement struct {
	// Within is the part for work within the account's rate, Total the whole. Total is
	// at most what the account asks for.
	Within, Total float64
	// WithinRate and TotalRate are the shares that the account could get if it asked for
	// more, for work within its rate and for all of its work.
	WithinRate, TotalRate float64
	// IsAhead reports that the account has got more than its share over the last Window of
	// contention.
	IsAhead bool
}

// Allocate divides the whole cell. Work within the rates of accounts with a weight comes
// first, then the rest of their work, then that of accounts without a weight. What an
// account does not ask for goes to the others in proportion to their weights.
// isContended reports that not all demand can be met.
func Allocate(demands []Demand) (entitlements []Entitlement, isContended bool) {
	entitlements = make([]Entitlement, len(demands))
	asked, weights := make([]float64, len(demands)), make([]float64, len(demands))
	for i, d := range demands {
		weights[i] = d.Weight
		if d.Weight > 0 {
			asked[i] = min(d.Within, d.Total)
		}
	}
	room := 1.0
	level := fill(&room, asked, weights, func(i int, share float64) { entitlements[i].Within = share })
	for i, d := range demands {
		entitlements[i].WithinRate = reachable(entitlements[i].Within, room, d.Weight, level)
		if d.Weight > 0 {
			asked[i] = d.Total - min(d.Within, d.Total)
		}
	}
	level = fill(&room, asked, weights, func(i int, share float64) { entitlements[i].Total = entitlements[i].Within + share })
	for i, d := range demands {
		e := &entitlements[i]
		e.TotalRate = e.Within + reachable(e.Total-e.Within, room, d.Weight, level)
		asked[i], weights[i] = 0, 0
		if d.Weight <= 0 {
			asked[i], weights[i] = d.Total, 1
		}
	}
	level = fill(&room, asked, weights, func(i int, share float64) {
		if demands[i].Weight <= 0 {
			entitlements[i].Total = share
			entitlements[i].TotalRate = share
		}
	})
	for i, d := range demands {
		if d.Weight <= 0 {
			entitlements[i].TotalRate = reachable(entitlements[i].Total, room, 1, level)
		}
		isContended = isContended || entitlements[i].Total < d.Total-epsilon
	}
	return entitlements, isContended
}

// epsilon is the error of sums of shares that is not a difference.
const epsilon = 1e-9

// reachable returns the share that an account could get in a stage if it asked for more:
// what is left besides its own, or its part at the level of the accounts that want more.
func reachable(share, room, weight, level float64) float64 {
	if weight <= 0 {
		return 0
	}
	if math.IsInf(level, 1) {
		return share + room
	}
	return max(share, weight*level)
}

// fill divides the room by weighted max-min fairness and calls assign for each account
// with its share, which is at most what it asks for. It subtracts the shares from room and
// returns the level, the share for each unit of weight of those that get less than they ask
// for; it is infinite if all get what they ask for.
func fill(room *float64, asked, weights []float64, assign func(i int, share float64)) (level float64) {
	order := make([]int, 0, len(asked))
	weight := 0.0
	for i := range asked {
		if weights[i] > 0 {
			order = append(order, i)
			weight += weights[i]
		}
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(asked[a]/weights[a], asked[b]/weights[b]) })
	level = math.Inf(1)
	for _, i := range order {
		if math.IsInf(level, 1) && asked[i]/weights[i]*weight > *room+epsilon {
			// All accounts from here on want more than their part.
			level = *room / weight
		}
		share := min(asked[i], weights[i]*level)
		*room = max(*room-share, 0)
		weight -= weights[i]
		assign(i, share)
	}
	return level
}
