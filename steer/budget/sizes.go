package budget

import "slices"

// Parameters of the prediction of sizes.
const (
	// sampleCount is the number of most recent sizes that a prediction uses.
	sampleCount = 64
	// minSamples is the number of samples below which the default is used.
	minSamples = 8
	// defaultSize is the prediction with too few samples, in bytes.
	defaultSize = 64 << 10
	// sizeQuantile is the quantile that is predicted.
	sizeQuantile = 0.9
	// recomputeEvery is the number of samples after which the quantile is
	// computed again.
	recomputeEvery = 8
)

// SizePredictor predicts the size of a response from the sizes of recent ones. The zero
// value is ready to use. It is not safe for concurrent use.
type SizePredictor struct {
	// samples is a ring of the most recent sizes, count the number of all sizes.
	samples   [sampleCount]int64
	count     int
	predicted int64
}

// Observe adds the size of a response in bytes.
func (s *SizePredictor) Observe(size int64) {
	s.samples[s.count%sampleCount] = size
	s.count++
	if s.count%recomputeEvery != 0 {
		return
	}
	recent := slices.Sorted(slices.Values(s.samples[:min(s.count, sampleCount)]))
	s.predicted = recent[int(sizeQuantile*float64(len(recent)))]
}

// Predict returns the 0.9 quantile of recent sizes in bytes, or a default with
// too few samples.
func (s *SizePredictor) Predict() int64 {
	if s.count < minSamples {
		return defaultSize
	}
	return s.predicted
}
