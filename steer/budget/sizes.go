package budget

import "slices"

// Shape of the prediction of sizes.
const (
	// sampleCount is the number of recent sizes that a prediction rests on.
	sampleCount = 64
	// minSamples is the number of samples below which the default is used.
	minSamples = 8
	// defaultSize is predicted without samples, in bytes.
	defaultSize = 64 << 10
	// sizeQuantile is the quantile that is predicted.
	sizeQuantile = 0.9
	// refresh is the number of samples after which the quantile is computed anew.
	refresh = 8
)

// Sizes predicts the size of an answer from recent ones. The zero value is
// ready. It is not safe for concurrent use.
type Sizes struct {
	samples [sampleCount]int64
	count   int
	high    int64
}

// Observe adds the size of an answer in bytes.
func (s *Sizes) Observe(size int64) {
	s.samples[s.count%sampleCount] = size
	s.count++
	if s.count%refresh != 0 {
		return
	}
	recent := slices.Sorted(slices.Values(s.samples[:min(s.count, sampleCount)]))
	s.high = recent[int(sizeQuantile*float64(len(recent)))]
}

// Predict returns a size that most answers stay below, in bytes.
func (s *Sizes) Predict() int64 {
	if s.count < minSamples {
		return defaultSize
	}
	return s.high
}
