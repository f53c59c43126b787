package forecast

// Lookahead returns the h-th time for which memory is predicted, in tokens generated from now, and
// false beyond the last one. The first is 0.
func Lookahead(h int) (tokens int, ok bool) {
	if h < 0 || h >= horizons {
		return 0, false
	}
	return lookaheads[h], true
}

// Growth returns the ratio of the predicted peak, with a margin in standard deviations, to the
// present use; 1 for an idle engine.
func (m *Memory) Growth(margin float64) float64 {
	if m.mean[0] <= 0 {
		return 1
	}
	return max(1, m.Peak(margin)/m.mean[0])
}

// Places returns how many more sequences of the given size, in tokens, are expected to fit beside
// those that still run at the h-th lookahead, which grow by the given ratio. Capacity is the engine's
// memory in tokens.
//
// It is for adding up the engines of a group. Whether a sequence may start on this one is decided by
// [Memory.PeakWith].
func (m *Memory) Places(h int, capacity, size, growth float64) int {
	if h < 0 || h >= horizons || size <= 0 {
		return 0
	}
	return int(max(0, capacity-m.mean[h]*growth) / size)
}
