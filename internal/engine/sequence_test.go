package engine

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSequence(t *testing.T) {
	tests := map[string]struct {
		after     int64
		positions []int64
		forwarded []int64
		gap       bool
	}{
		"in order":                {positions: []int64{1, 2, 3}, forwarded: []int64{1, 2, 3}},
		"repeated after a resume": {after: 2, positions: []int64{1, 2, 3, 3, 4}, forwarded: []int64{3, 4}},
		"gap in the middle":       {positions: []int64{1, 3}, forwarded: []int64{1}, gap: true},
		"gap at the resume":       {after: 5, positions: []int64{7}, gap: true},
		"old connection recovers": {positions: []int64{1, 2, 3, 2, 3, 4}, forwarded: []int64{1, 2, 3, 4}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := NewSequence(tt.after)
			var forwarded []int64
			var err error
			for _, position := range tt.positions {
				var fresh bool
				if fresh, err = s.Accept(position); err != nil {
					break
				}
				if fresh {
					forwarded = append(forwarded, position)
				}
			}
			require.Equal(t, tt.forwarded, forwarded)
			if tt.gap {
				require.ErrorIs(t, err, ErrGap)
			} else {
				require.NoError(t, err)
			}
		})
	}
}

// FuzzSequence checks that the forwarded positions are consecutive from the start, whatever
// positions arrive.
func FuzzSequence(f *testing.F) {
	f.Add(int64(0), []byte{1, 2, 3})
	f.Add(int64(4), []byte{4, 5, 5, 9})
	f.Fuzz(func(t *testing.T, after int64, positions []byte) {
		after &= 0xff
		s := NewSequence(after)
		next := after + 1
		for _, p := range positions {
			fresh, err := s.Accept(int64(p))
			if err != nil {
				require.Greater(t, int64(p), next)
				return
			}
			if fresh {
				require.Equal(t, next, int64(p))
				next++
			}
			require.Equal(t, next-1, s.LastPosition())
		}
	})
}
