package pools

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Wave is a maintenance wave.
type Wave struct {
	Number int
	// Most is how many machines may be down for the wave at once, Down how many
	// are.
	Most, Down int
	// Passed and Length are the time since the wave was asked for and the time it
	// may take.
	Passed, Length time.Duration
}

// Upkeep asks that a machine is maintained.
type Upkeep struct {
	Machine Machine
	Wave    int
}

// Pacing constants of waves.
const (
	// roundTime is how long a machine is away for its upkeep, with the time to
	// free it.
	roundTime = 4500 * time.Millisecond
	// finishShare is the share of a wave's time in which it should be done; the
	// rest is left for failures.
	finishShare = 0.6
	// rushShare is the share of a wave's time after which full pools are no
	// longer spared.
	rushShare = 0.45
	// fullShare is the use of a pool above which it is spared.
	fullShare = 0.6
)

// Upkeeps picks the machines to maintain now. It answers waves that fall into
// the turns of demand: machines that are off or idle go first, those of pools
// in their peak last, and no more at once than the time asks for.
func Upkeeps(v View) []Upkeep {
	var chosen []Upkeep
	busy := busyPools(v)
	for _, w := range v.Waves {
		var due []Machine
		for _, m := range v.Machines {
			if m.Wave == w.Number && !m.IsEngaged && m.State == "up" {
				due = append(due, m)
			}
		}
		left := w.Most - w.Down
		slices.SortFunc(due, func(a, b Machine) int {
			return cmp.Or(cmp.Compare(rank(a, v), rank(b, v)), cmp.Compare(a.Lasting, b.Lasting),
				cmp.Compare(a.Runs, b.Runs), cmp.Compare(a.ID, b.ID))
		})
		paced := w.pace(len(due) + w.Down)
		isRush := float64(w.Passed) > rushShare*float64(w.Length)
		for _, m := range due {
			if left <= 0 {
				break
			}
			isCheap := rank(m, v) < rankBusy
			if !isCheap && (w.Down >= paced || busy[m.Pool] && !isRush) {
				continue
			}
			chosen = append(chosen, Upkeep{Machine: m, Wave: w.Number})
			w.Down++
			left--
		}
	}
	return chosen
}

// pace returns how many machines should be down at once.
func (w *Wave) pace(left int) int {
	time := finishShare*float64(w.Length) - float64(w.Passed)
	if time <= float64(roundTime) {
		return w.Most
	}
	return min(w.Most, int(math.Ceil(float64(left)*float64(roundTime)/time)))
}

// Ranks of machines for their upkeep.
const (
	rankOff = iota
	rankIdle
	rankBusy
)

func rank(m Machine, v View) int {
	for _, p := range v.Pools {
		if p.Name == m.Pool && p.IsStandby {
			return rankOff
		}
	}
	if m.isIdle() {
		return rankIdle
	}
	return rankBusy
}

func busyPools(v View) map[string]bool {
	room := make(map[string]int64)
	for _, m := range v.Machines {
		if m.State == "up" {
			room[m.Pool] += m.CPU
		}
	}
	busy := make(map[string]bool)
	for _, p := range v.Pools {
		use := max(p.Present, p.Arriving) + p.Lasting
		busy[p.Name] = float64(use) > fullShare*float64(room[p.Name])
	}
	return busy
}
