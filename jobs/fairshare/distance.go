package fairshare

// Distance returns the distance from the fair shares over the last Window of contention: half
// the sum, over all accounts, of the differences between the fraction of the served work that
// the account got and the fraction that it was entitled to. It is 0 until there has been
// contention for that long.
func (s *Shares) Distance() (distance float64) {
	if s.contended < Window {
		return 0
	}
	_, entitled, used := s.fractions()
	for i := range used {
		distance += max(used[i]-entitled[i], 0)
	}
	return distance
}

// fractions returns the fractions of the work served over the last Window of contention that
// each account was entitled to and got. An account is entitled to the smaller of its weighted
// share and its demand: what it got, what waits, and what was rejected.
func (s *Shares) fractions() (accounts []*account, entitled, used []float64) {
	served := 0.0
	for _, a := range s.accounts {
		a.window.advance(s.slot())
		served += a.window.totalUsed
		accounts = append(accounts, a)
	}
	entitled, used = make([]float64, len(accounts)), make([]float64, len(accounts))
	if served <= epsilon {
		return accounts, entitled, used
	}
	demands := make([]Demand, len(accounts))
	for i, a := range accounts {
		used[i] = a.window.totalUsed / served
		asked := (a.window.totalUsed + a.demand.Waiting + a.window.totalRejected) / served
		demands[i] = Demand{Weight: a.demand.Weight, Within: asked, Total: asked}
	}
	entitlements, _ := Allocate(demands)
	for i := range entitlements {
		entitled[i] = entitlements[i].Total
	}
	return accounts, entitled, used
}
