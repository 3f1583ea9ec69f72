package forecast

import (
	"math"
	"slices"
)

// Layout of the deviations of tasks from the median of their step, as logarithms.
const (
	spreadBuckets = 56
	spreadWidth   = 0.05
	spreadLowest  = -1.4
	spreadSize    = 128
	// maxSpreadTasks bounds the tasks of one step that are taken into account.
	maxSpreadTasks = 32
	// minSpread is the number of deviations from which they replace the default.
	minSpread = 12
	// spreadSizes is the number of step sizes for which the maximum is kept: 1, 2, 4 to 512.
	spreadSizes = 10
)

// defaultMaxima are the expected maxima, relative to the mean, of 1, 2, 4 to 512 tasks that
// differ by 0.22 of their mean.
var defaultMaxima = [spreadSizes]float32{1, 1.12, 1.23, 1.31, 1.39, 1.46, 1.52, 1.57, 1.62, 1.67}

// spread is how the tasks of one step differ from each other, stragglers left out.
type spread struct {
	ring   [spreadSize]uint8
	counts [spreadBuckets]uint16
	next   int
	count  int
	// maxima are the expected maxima of 1, 2, 4 to 512 tasks relative to their mean.
	maxima [spreadSizes]float32
}

// observe adds the run times, in seconds, of the tasks of a step. It sorts them.
func (s *spread) observe(seconds []float64) {
	slices.Sort(seconds)
	n := len(seconds)
	median := math.Log(seconds[n/2])/2 + math.Log(seconds[(n-1)/2])/2
	// The median moves with the values, which makes the deviations from it smaller.
	correction := math.Sqrt(float64(n) / float64(n-1))
	for _, value := range seconds {
		if deviation := math.Log(value) - median; deviation <= stragglerLog {
			s.add(deviation * correction)
		}
	}
	s.refresh()
}

func (s *spread) add(deviation float64) {
	s.addBucket(uint8(min(max((deviation-spreadLowest)/spreadWidth, 0), spreadBuckets-1)))
}

func (s *spread) addBucket(bucket uint8) {
	if s.count == spreadSize {
		s.counts[s.ring[s.next]]--
	} else {
		s.count++
	}
	s.ring[s.next] = bucket
	s.counts[bucket]++
	s.next = (s.next + 1) % spreadSize
}

// refresh computes the expected maxima.
func (s *spread) refresh() {
	mean := 0.0
	for bucket, n := range s.counts {
		if n > 0 {
			mean += float64(n) * factorOf(bucket)
		}
	}
	mean /= float64(s.count)
	var maxima, previous [spreadSizes]float64
	below := 0
	for bucket, n := range s.counts {
		if n == 0 {
			continue
		}
		below += int(n)
		// The maximum of 1, 2, 4 and more tasks is at most a value if all tasks are.
		probability := float64(below) / float64(s.count)
		factor := factorOf(bucket)
		for i := range maxima {
			maxima[i] += (probability - previous[i]) * factor
			previous[i] = probability
			probability *= probability
		}
	}
	for i := range maxima {
		s.maxima[i] = float32(maxima[i] / mean)
	}
}

func factorOf(bucket int) float64 {
	return math.Exp(spreadLowest + (float64(bucket)+0.5)*spreadWidth)
}

// maximum returns the expected run time of the slowest of some tasks relative to the mean.
func (s *spread) maximum(tasks int) float64 {
	maxima := &defaultMaxima
	if s != nil && s.count >= minSpread {
		maxima = &s.maxima
	}
	position := min(math.Log2(float64(max(tasks, 1))), spreadSizes-1)
	i := min(int(position), spreadSizes-2)
	return float64(maxima[i]) + (position-float64(i))*float64(maxima[i+1]-maxima[i])
}
